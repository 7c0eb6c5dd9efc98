import { Cancellation } from '../common/events/Cancellation.js';
import type { BackendServer } from '../common/serving/ServingConfiguration.js';
import type { Clock } from '../common/time/Types.js';
import type { CallerRequest } from './CallerRequest.js';
import type { Claim, ForwardOutcome } from './ForwardOutcome.js';
import type { ForwardProgress } from './ForwardProgress.js';

/** Sends a request to a server and records the outcome. */
export type SendTo = (
  request: CallerRequest,
  server: BackendServer,
  claim: Claim,
) => Promise<ForwardOutcome>;

/** The first whole answer to a request, or the first event of its stream. */
export interface RaceAnswer {
  readonly status: number;
  /** Whether the hedge sent it. */
  readonly isHedge: boolean;
  /** Time from the send that is answered, in ms. */
  readonly latencyMs: number;
  /** Time from the first send, in ms. */
  readonly sinceFirstMs: number;
  /** Whether the first send was in progress. */
  readonly wasFirstRunning: boolean;
}

/** How a race ended. */
export interface RaceResult {
  /** Outcome of the send that answered; otherwise, of the one that ended last. */
  readonly outcome: ForwardOutcome;
  readonly isHedged: boolean;
  readonly hasHedgeWon: boolean;
}

/** Options of {@link HedgeRace}. */
export interface HedgeRaceOptions {
  readonly request: CallerRequest;
  readonly progress: ForwardProgress;
  readonly clock: Clock;
  readonly sendTo: SendTo;
  /** Time until the hedge, in ms; undefined for a request that is not hedged. */
  readonly delayMs: number | undefined;
  /** Called once when the delay has ended without an answer; undefined for no hedge. */
  readonly chooseServer: () => BackendServer | undefined;
  readonly onAnswer: (answer: RaceAnswer) => void;
}

interface Contender {
  readonly cancellation: Cancellation;
  /** On the clock, in ms. */
  readonly startedAt: number;
  isRunning: boolean;
}

/**
 * Sends a request, and if it is not answered within the delay, sends it to a second server too. The
 * first answer goes to the caller, and the other send is cancelled.
 */
export class HedgeRace {
  private readonly contenders: Contender[] = [];

  private winner: Contender | undefined;

  private outcome: ForwardOutcome | undefined;

  private endDelay: () => void = () => undefined;

  constructor(private readonly options: HedgeRaceOptions) {}

  /**
   * @param server - server of the first send
   * @returns the result when all sends have ended
   */
  async run(server: BackendServer): Promise<RaceResult> {
    try {
      const ends = [this.start(server)];
      const hedgeServer = await this.hedgeServerAfterDelay(ends[0]!);
      if (hedgeServer) {
        this.options.progress.hasConcurrentSend = true;
        ends.push(this.start(hedgeServer));
      }
      await Promise.all(ends);
    } finally {
      this.contenders.forEach(({ cancellation }) => cancellation.cancel());
    }
    const { outcome, winner, contenders } = this;
    if (!outcome) throw new Error('race without an outcome');
    const [, hedge] = contenders;
    const isHedged = hedge !== undefined;
    return { outcome, isHedged, hasHedgeWon: isHedged && winner === hedge };
  }

  private async start(server: BackendServer): Promise<void> {
    const { request, clock, sendTo } = this.options;
    const cancellation = new Cancellation(request.cancellation);
    const contender: Contender = { cancellation, startedAt: clock.now(), isRunning: true };
    this.contenders.push(contender);
    const claim: Claim = (status) => this.claim(contender, status);
    this.recordEnd(contender, await sendTo({ ...request, cancellation }, server, claim));
  }

  /** Waits for the delay, unless the first send is answered or ends before. */
  private async hedgeServerAfterDelay(firstEnd: Promise<void>): Promise<BackendServer | undefined> {
    const { delayMs, chooseServer } = this.options;
    if (delayMs === undefined) return undefined;
    const isDue = await new Promise<boolean>((resolve) => {
      const timer = setTimeout(() => resolve(true), delayMs);
      this.endDelay = () => {
        clearTimeout(timer);
        resolve(false);
      };
      firstEnd.then(this.endDelay, this.endDelay);
    });
    return isDue && !this.options.request.cancellation.isCancelled ? chooseServer() : undefined;
  }

  private claim(contender: Contender, status: number): boolean {
    if (this.winner) return this.winner === contender;
    this.winner = contender;
    this.endDelay();
    const first = this.contenders[0]!;
    const wasFirstRunning = first.isRunning;
    // Cancelled before anything else runs, so that the other send cannot write in between.
    this.contenders
      .filter((other) => other !== contender)
      .forEach(({ cancellation }) => cancellation.cancel());
    const now = this.options.clock.now();
    this.options.onAnswer({
      status,
      isHedge: contender !== first,
      latencyMs: now - contender.startedAt,
      sinceFirstMs: now - first.startedAt,
      wasFirstRunning,
    });
    return true;
  }

  private recordEnd(contender: Contender, outcome: ForwardOutcome): void {
    const { progress } = this.options;
    Object.assign(contender, { isRunning: false });
    progress.hasConcurrentSend = false;
    const isDecisive = this.winner
      ? this.winner === contender
      : this.contenders.every(({ isRunning }) => !isRunning);
    if (isDecisive) this.outcome = outcome;
    // The runner counts the run of the decisive outcome.
    else if (mayHaveRun(outcome)) progress.recordPossibleRun();
  }
}

function mayHaveRun({ kind }: ForwardOutcome): boolean {
  return kind !== 'unsent' && kind !== 'not-executed';
}
