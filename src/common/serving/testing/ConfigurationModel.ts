/** Model of a store, an operator and three processes that order configurations. */
import { ConfigurationOrder } from '../ConfigurationOrder.js';

const PROCESSES = [0, 1, 2];
const MAX_VERSION = 4;
const MAX_RESTORES = 2;
const MAX_RESTARTS = 2;

/** Longer than a configuration has to settle, in ms. */
const TICK_MS = 1000;

/** A configuration of the operator. */
interface Configuration {
  readonly version: number;
  readonly digest: number;
  /** Place in the order in which the operator wrote them first. */
  readonly place: number;
}

interface StoredRow {
  readonly configuration: Configuration;
  readonly row: number;
}

/** What a process is cut off from. */
type Cut = 'none' | 'store' | 'store and peers';

interface Process {
  order: ConfigurationOrder;
  cut: Cut;
}

const FIRST: Configuration = { version: 1, digest: 10, place: 0 };

/**
 * A state that a search can copy and continue with each event that is possible in it. The processes
 * are alike, so only one of them is cut off and only two are restarted.
 */
export class ConfigurationModel {
  private era = 1;

  private stored: StoredRow = { configuration: FIRST, row: 10 };

  /** Newest version of the store. */
  private row = 10;

  private copy: StoredRow | undefined;

  /** Everything that the operator has written, in order. */
  private written = [FIRST];

  private processes: Process[] = PROCESSES.map(() => ({
    order: new ConfigurationOrder(),
    cut: 'none',
  }));

  private restores = 0;

  private restarts = 0;

  private hasReusedNumber = false;

  private now = 0;

  /** Events by name; each returns whether it was possible. */
  private static readonly events: Readonly<Record<string, (model: ConfigurationModel) => boolean>> =
    {
      write: (model) => model.write(),
      copy: (model) => model.takeCopy(),
      restore: (model) => model.restore(),
      repeat: (model) => model.repeat(),
      'repeat earlier': (model) => model.repeatEarlier(),
      'reuse number': (model) => model.reuseNumber(),
      tick: (model) => model.tick(),
      'cut store': (model) => model.cut('store'),
      'cut all': (model) => model.cut('store and peers'),
      heal: (model) => model.heal(),
      'restart 1': (model) => model.restart(1),
      'restart 2': (model) => model.restart(2),
      ...Object.fromEntries(
        PROCESSES.map((index) => [
          `read ${index}`,
          (model: ConfigurationModel) => model.read(model.processes[index]!),
        ]),
      ),
      ...Object.fromEntries(
        PROCESSES.flatMap((from) =>
          PROCESSES.filter((to) => to !== from).map((to) => [
            `tell ${from} ${to}`,
            (model: ConfigurationModel) => model.tell(model.processes[from]!, model.processes[to]!),
          ]),
        ),
      ),
    };

  /** Names of all events. */
  static get eventNames(): string[] {
    return Object.keys(ConfigurationModel.events);
  }

  /** Text that is equal for equal states. */
  get key(): string {
    const { now, ...state } = this;
    return JSON.stringify(state, (name, value: unknown) => {
      if (value instanceof Map || value instanceof Set) return [...value];
      return name === 'since' ? now - Number(value) : value;
    });
  }

  /** @returns state after an event; undefined if it is not possible */
  after(event: string): ConfigurationModel | undefined {
    const next = this.clone();
    return ConfigurationModel.events[event]!(next) ? next : undefined;
  }

  /**
   * @param event - event that led from the previous state to this one
   * @returns what is wrong with the step; undefined if nothing is
   */
  violationAfter(previous: ConfigurationModel, event: string): string | undefined {
    const isUndone = PROCESSES.filter((index) => event !== `restart ${index}`).some((index) => {
      const before = previous.placeInForce(index);
      const after = this.placeInForce(index);
      return before !== undefined && after !== undefined && after < before;
    });
    if (isUndone) return 'a configuration is undone';
    if (event !== 'tick') return undefined;
    const reached = PROCESSES.filter((index) => this.processes[index]!.cut !== 'store and peers');
    const places = reached.map((index) => this.placeInForce(index));
    if (new Set(places).size !== 1) return 'a process stays behind';
    const isInForce = !this.isNewestStored || places[0] === this.newest.place;
    return isInForce ? undefined : 'an acknowledged configuration is not in force';
  }

  private get newest(): Configuration {
    return this.written.at(-1)!;
  }

  private get isNewestStored(): boolean {
    return this.stored.configuration.digest === this.newest.digest;
  }

  private placeInForce(index: number): number | undefined {
    const inForce = this.processes[index]!.order.state?.inForce;
    return this.written.find(({ digest }) => digest === inForce?.digest)?.place;
  }

  private hasRead({ order }: Process): boolean {
    const position = order.state?.stored?.position;
    return position?.era === this.era && position.version === this.stored.row;
  }

  private store(configuration: Configuration): void {
    this.row += 1;
    this.stored = { configuration, row: this.row };
  }

  private write(): boolean {
    const { version, place } = this.newest;
    // An operator writes its configurations again before it goes on. One that was never in force can't
    // be told from a new one when it is written again.
    const isInForce = PROCESSES.some((index) => this.placeInForce(index) === place);
    if (version === MAX_VERSION || !this.isNewestStored || !isInForce) return false;
    const next = { version: version + 1, digest: 10 * (version + 1), place: place + 1 };
    this.written.push(next);
    this.store(next);
    return true;
  }

  private takeCopy(): boolean {
    if (this.copy) return false;
    this.copy = this.stored;
    return true;
  }

  private restore(): boolean {
    if (!this.copy || this.restores === MAX_RESTORES) return false;
    this.restores += 1;
    this.era += 1;
    this.stored = this.copy;
    this.row = this.copy.row;
    return true;
  }

  private repeat(): boolean {
    if (this.isNewestStored) return false;
    this.store(this.newest);
    return true;
  }

  private repeatEarlier(): boolean {
    const earlier = this.written.at(-2);
    if (!earlier || this.stored.configuration.place >= earlier.place) return false;
    this.store(earlier);
    return true;
  }

  /** The operator gives the number of a lost configuration out again, with other content. */
  private reuseNumber(): boolean {
    if (this.isNewestStored || this.hasReusedNumber) return false;
    const { version, place } = this.newest;
    const other = { version, digest: 10 * version + 1, place: place + 1 };
    this.hasReusedNumber = true;
    this.written.push(other);
    this.store(other);
    return true;
  }

  private read(process: Process): boolean {
    if (process.cut !== 'none' || this.hasRead(process)) return false;
    const { version, digest } = this.stored.configuration;
    const position = { era: this.era, version: this.stored.row };
    process.order.offer({ version, digest, position }, this.now);
    return true;
  }

  /** Delivers a heartbeat and, if the receiver asks for it, a copy of the configuration. */
  private tell(from: Process, to: Process): boolean {
    const { state, history } = from.order;
    const isCut = [from, to].some(({ cut }) => cut === 'store and peers');
    if (!state || from === to || isCut) return false;
    const before = JSON.stringify([to.order.state, to.order.history]);
    to.order.observe(state, this.now);
    if (to.order.isBehind(state.inForce.version, state)) {
      to.order.merge(history!, state.inForce.digest, this.now);
    }
    return JSON.stringify([to.order.state, to.order.history]) !== before;
  }

  /** A second passes, in which everybody who can reads the store and hears of the others. */
  private tick(): boolean {
    this.processes.forEach((process) => this.read(process));
    this.tellEverybody();
    this.now += TICK_MS;
    this.processes.forEach(({ order, cut }) => cut === 'none' && order.settle(this.now));
    this.tellEverybody();
    return true;
  }

  private tellEverybody(): void {
    [1, 2].forEach(() =>
      this.processes.forEach((from) => this.processes.forEach((to) => this.tell(from, to))),
    );
  }

  private cut(cut: Cut): boolean {
    const process = this.processes[2]!;
    if (process.cut !== 'none') return false;
    process.cut = cut;
    return true;
  }

  private heal(): boolean {
    const process = this.processes[2]!;
    if (process.cut === 'none') return false;
    process.cut = 'none';
    return true;
  }

  private restart(index: number): boolean {
    if (this.restarts === MAX_RESTARTS) return false;
    this.restarts += 1;
    this.processes[index]!.order = new ConfigurationOrder();
    return true;
  }

  private clone(): ConfigurationModel {
    const copy = Object.assign(new ConfigurationModel(), this);
    copy.written = [...this.written];
    copy.processes = this.processes.map(({ order, cut }) => ({ order: cloneOrder(order), cut }));
    return copy;
  }
}

function cloneOrder(order: ConfigurationOrder): ConfigurationOrder {
  return Object.assign(new ConfigurationOrder(), structuredClone({ ...order }));
}
