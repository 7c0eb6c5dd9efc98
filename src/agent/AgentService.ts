import type { AttemptStateMachine } from '../common/attempts/AttemptStateMachine.js';
import type { AttemptStatus } from '../common/protocol/Attempt.js';
import type { Acknowledgement, AgentControl, ServerStatus } from '../common/protocol/Control.js';
import type { Logger } from '../telemetry/Logger.js';
import type { ConfigurationSource } from '../follower/Types.js';
import type { AgentSettings } from './AgentSettings.js';
import type { DrainState } from './DrainState.js';
import type { AttemptActor } from './AttemptActor.js';
import type { AttemptMessage } from './AttemptMessage.js';
import type { AgentIdentity } from './Types.js';

type StateReply = (state: AttemptStatus['state']) => void;

/** Options of {@link AgentService}. */
export interface AgentServiceOptions {
  readonly settings: AgentSettings;
  readonly identity: AgentIdentity;
  /** Read-only here; only the actor changes its state. */
  readonly stateMachine: AttemptStateMachine;
  readonly actor: AttemptActor;
  readonly drainState: DrainState;
  readonly configuration: ConfigurationSource;
  readonly logger: Logger;
}

/** Implements the control calls of the agent through messages to the attempt actor. */
export class AgentService implements AgentControl {
  readonly configuration: ConfigurationSource;

  private isDraining = false;

  /** @param options - attempt state machine, drain state, configuration */
  constructor(private readonly options: AgentServiceOptions) {
    this.configuration = options.configuration;
  }

  async status(attemptId: string): Promise<AttemptStatus> {
    return this.requestState((reply) => ({ type: 'status', attemptId, reply }));
  }

  async voidAttempt(attemptId: string): Promise<AttemptStatus> {
    return this.requestState((reply) => ({ type: 'void', attemptId, reply }));
  }

  async cancel(attemptId: string): Promise<AttemptStatus> {
    return this.requestState((reply) => ({ type: 'cancel', attemptId, reply }));
  }

  async acknowledge(attempts: readonly Acknowledgement[]): Promise<void> {
    this.options.actor.send({ type: 'acknowledge', attempts });
  }

  async drain(): Promise<ServerStatus> {
    this.options.drainState.applyOperatorCall(true);
    return this.applyDrainState();
  }

  async resume(): Promise<ServerStatus> {
    this.options.drainState.applyOperatorCall(false);
    return this.applyDrainState();
  }

  /**
   * Drains or resumes the attempt state machine according to the drain state.
   * @returns status of the server afterwards
   */
  async applyDrainState(): Promise<ServerStatus> {
    const { actor, drainState, settings, logger } = this.options;
    if (drainState.isDraining !== this.isDraining) {
      this.isDraining = drainState.isDraining;
      const serverId = settings.backend.id;
      logger.info(this.isDraining ? 'drain begins' : 'drain ends', { serverId });
    }
    const type = drainState.isDraining ? 'drain' : 'resume';
    await actor.ask<void>((reply) => ({ type, reply }));
    return this.serverStatus();
  }

  async serverStatus(): Promise<ServerStatus> {
    const { settings, identity, stateMachine, configuration } = this.options;
    return {
      agentId: settings.id,
      serverId: settings.backend.id,
      incarnation: identity.incarnation,
      pool: settings.backend.pool,
      failureDomain: settings.failureDomain,
      load: stateMachine.load(),
      notice: configuration.notice(),
    };
  }

  private async requestState(
    create: (reply: StateReply) => AttemptMessage,
  ): Promise<AttemptStatus> {
    const state = await this.options.actor.ask(create);
    return { incarnation: this.options.identity.incarnation, state };
  }
}
