/** Model of processes that begin, record and take up streams while versions and machines come and go. */
import type { SeededRandom } from '../../time/SeededRandom.js';
import { chooseStreamRecorders } from '../StreamRecorders.js';
import { StreamOrigins, type StreamGroup } from '../StreamOrigins.js';
import { StreamRecords } from '../StreamRecords.js';
import { ManualClock } from './ManualClock.js';

/** Interval of heartbeats and writes in the model, in ms. */
export const STEP_MS = 250;

const LIFETIME_MS = 12_000;
const SERVICE = 'pool';

/** Time without a heartbeat after which a peer counts as dead, and age of streams in heartbeats, in ms. */
const SILENCE_MS = 1100;
const ANNOUNCED_AGE_MS = 2000;
const MAX_ANNOUNCED = 200;

/** Share of the heartbeats that are lost. */
const LOSS = 0.1;

/** How the processes of the model decide; the faulty ways show that the model finds their faults. */
export interface StreamPolicy {
  /** Whether a stream without a record is believed to have begun at the only version known. */
  readonly believesOnlyVersion: boolean;
  /** Whether a stream is recorded when it is sent to a server, and not with its first event. */
  readonly recordsSends: boolean;
}

interface Process {
  readonly id: string;
  state: 'running' | 'paused' | 'down';
  isCutFromStore: boolean;
  isCutFromPeers: boolean;
  origins: StreamOrigins;
  records: StreamRecords;
  hasLoaded: boolean;
  /** Versions that have servers, as this process knows them. */
  versions: readonly string[];
  /** Times of the last heartbeats, by peer. */
  readonly heardAt: Map<string, number>;
}

interface Stream {
  readonly id: string;
  readonly version: string;
  readonly process: string;
  readonly begunAt: number;
}

/** How a take-up ended. */
export type TakeUp = 'goes on' | 'joined' | 'unknown' | 'departed';

/** Processes with a store and servers of several versions. */
export class StreamFleet {
  private readonly clock = new ManualClock();

  private readonly processes: Process[];

  private rows = new Map<string, readonly StreamGroup[]>();

  private copy: ReadonlyMap<string, readonly StreamGroup[]> = new Map();

  private isStoreSilent = false;

  /** Versions that have servers. */
  private versions: string[] = ['v1'];

  private versionCount = 1;

  private streams: Stream[] = [];

  private streamCount = 0;

  constructor(
    private readonly random: SeededRandom,
    count: number,
    private readonly policy: StreamPolicy,
  ) {
    this.processes = Array.from({ length: count }, (_, index) =>
      this.createProcess(`front-${index + 1}`),
    );
  }

  /** Events that a history consists of. */
  readonly events: Readonly<Record<string, () => void>> = {
    step: () => this.step(),
    begin: () => this.begin(this.pick(this.processes)),
    release: () => this.release(),
    withdraw: () => this.withdraw(),
    'lose power': () => this.end(this.pick(this.processes)),
    'lose all power': () => this.processes.forEach((process) => this.end(process)),
    start: () => this.processes.forEach((process) => this.start(process)),
    'cut off': () =>
      Object.assign(this.pick(this.processes), { isCutFromStore: true, isCutFromPeers: true }),
    'cut off from the store': () =>
      Object.assign(this.pick(this.processes), { isCutFromStore: true }),
    pause: () => {
      const process = this.pick(this.processes);
      if (process.state === 'running') process.state = 'paused';
    },
    mend: () => this.mend(),
    'silence the store': () => {
      this.isStoreSilent = true;
    },
    'copy the store': () => {
      this.copy = new Map(this.rows);
    },
    'restore the store': () => this.restoreStore(),
  };

  /** Ends all cuts, pauses and silences, and starts all processes. */
  mend(): void {
    this.isStoreSilent = false;
    this.processes.forEach((process) => {
      Object.assign(process, { isCutFromStore: false, isCutFromPeers: false });
      if (process.state === 'paused') Object.assign(process, { state: 'running' });
      this.start(process);
    });
  }

  /** Lets time pass until the next heartbeats and writes. */
  step(): void {
    this.clock.set(this.clock.now() + STEP_MS);
    const running = this.processes.filter(({ state }) => state === 'running');
    running.forEach((process) => {
      if (this.reachesStore(process)) Object.assign(process, { versions: [...this.versions] });
      this.announce(process, running);
    });
    running.forEach((process) => this.write(process));
  }

  /** Begins streams at all processes that run, in place of those before. */
  beginEverywhere(): void {
    this.streams = [];
    this.processes.forEach((process) => this.begin(process));
  }

  /**
   * Ends processes, and takes up their streams at the others.
   * @param index - the process to end; undefined for all, which then start again
   * @returns outcomes
   */
  takeUpAfterEnd(index: number | undefined): TakeUp[] {
    const ended = index === undefined ? this.processes : [this.processes[index]!];
    const ids = new Set(ended.map(({ id }) => id));
    const streams = this.streams.filter(({ process }) => ids.has(process));
    ended.forEach((process) => this.end(process));
    if (index === undefined) {
      this.processes.forEach((process) => this.start(process));
      this.step();
    }
    const others = this.processes.filter(({ state }) => state === 'running');
    return streams.map((stream) => this.takeUp(this.pick(others), stream));
  }

  /** @returns outcomes of taking up each stream at each process that runs */
  takeUpAll(): TakeUp[] {
    const running = this.processes.filter(({ state }) => state === 'running');
    return this.youngStreams().flatMap((stream) =>
      running.map((process) => this.takeUp(process, stream)),
    );
  }

  private takeUp(process: Process, stream: Stream): TakeUp {
    if (!process.origins.find(stream.id)) this.load(process);
    const version = process.origins.find(stream.id)?.version ?? this.believedVersion(process);
    if (version === undefined) return 'unknown';
    if (!this.versions.includes(version) || !process.versions.includes(version)) return 'departed';
    return version === stream.version ? 'goes on' : 'joined';
  }

  private believedVersion({ versions }: Process): string | undefined {
    return this.policy.believesOnlyVersion && versions.length === 1 ? versions[0] : undefined;
  }

  private begin(process: Process): void {
    const known = process.versions.filter((version) => this.versions.includes(version));
    if (process.state !== 'running' || known.length === 0) return;
    this.streamCount += 1;
    const id = `stream-${this.streamCount}`;
    // A server may end before the first event, and the next one be of another version.
    if (this.policy.recordsSends) this.record(process, id, this.pick(known));
    const version = this.pick(known);
    this.record(process, id, version);
    this.streams.push({ id, version, process: process.id, begunAt: this.clock.now() });
    this.streams = this.youngStreams();
  }

  private record({ origins }: Process, id: string, version: string): void {
    origins.begin(id, { service: SERVICE, version });
  }

  private youngStreams(): Stream[] {
    const oldest = this.clock.now() - LIFETIME_MS;
    return this.streams.filter(({ begunAt }) => begunAt > oldest);
  }

  private release(): void {
    if (this.versions.length > 2) return;
    this.versionCount += 1;
    this.versions.push(`v${this.versionCount}`);
  }

  private withdraw(): void {
    if (this.versions.length > 1) this.versions.shift();
  }

  private end(process: Process): void {
    Object.assign(process, { state: 'down' });
  }

  private start(process: Process): void {
    if (process.state !== 'down') return;
    const versions = this.reachesStore(process) ? [...this.versions] : [];
    Object.assign(process, this.createProcess(process.id), { versions });
  }

  private restoreStore(): void {
    this.rows = new Map(this.copy);
    this.processes.forEach(({ records }) => records.markAllDue());
  }

  private announce(sender: Process, running: readonly Process[]): void {
    const groups = sender.origins.ownGroups(ANNOUNCED_AGE_MS, MAX_ANNOUNCED);
    running.forEach((receiver) => {
      const isCut = sender.isCutFromPeers || receiver.isCutFromPeers;
      if (receiver === sender || isCut || this.random.next() < LOSS) return;
      receiver.heardAt.set(sender.id, this.clock.now());
      receiver.origins.learn(groups);
    });
  }

  private write(process: Process): void {
    const heardSince = this.clock.now() - SILENCE_MS;
    const live = [...process.heardAt].filter(([, at]) => at >= heardSince).map(([id]) => id);
    const candidates = [process.id, ...live].map((id) => ({ id, isLeaving: false }));
    if (!this.reachesStore(process)) return;
    if (!chooseStreamRecorders(candidates).includes(process.id)) return;
    if (!process.hasLoaded) this.load(process);
    const { records } = process;
    for (let row = records.takeDue(); row; row = records.takeDue()) {
      this.rows.set(`${process.id}/${row.slot}`, row.streams);
    }
  }

  private load(process: Process): void {
    if (!this.reachesStore(process)) return;
    this.rows.forEach((groups) => process.origins.restore(groups));
    if (process.hasLoaded) return;
    Object.assign(process, { hasLoaded: true });
    const prefix = `${process.id}/`;
    const own = [...this.rows.keys()].filter((key) => key.startsWith(prefix));
    process.records.reserve(own.map((key) => Number(key.slice(prefix.length))));
  }

  private reachesStore({ isCutFromStore }: Process): boolean {
    return !this.isStoreSilent && !isCutFromStore;
  }

  private createProcess(id: string): Process {
    const lifetimeMs = () => LIFETIME_MS;
    const origins = new StreamOrigins(this.clock, lifetimeMs);
    const records = new StreamRecords(this.clock, origins, lifetimeMs);
    origins.onHeard((streamId) => records.add(streamId));
    return {
      id,
      state: 'running',
      isCutFromStore: false,
      isCutFromPeers: false,
      origins,
      records,
      hasLoaded: false,
      versions: [...this.versions],
      heardAt: new Map(),
    };
  }

  private pick<T>(values: readonly T[]): T {
    return values[Math.floor(this.random.next() * values.length)]!;
  }
}
