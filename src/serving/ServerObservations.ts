import { CrashingParts } from '../common/serving/CrashingParts.js';
import { CrashingRequests } from '../common/serving/CrashingRequests.js';
import { EngineSpeeds } from '../common/serving/EngineSpeeds.js';
import { EvacuationView } from '../common/serving/EvacuationView.js';
import type { ColdSource } from '../common/serving/ServerColdState.js';
import { ServerRecords } from '../common/serving/ServerRecords.js';
import { StreamOrigins } from '../common/serving/StreamOrigins.js';
import {
  ServerStatements,
  type ServerStatementsServices,
} from '../common/serving/ServerStatements.js';
import type { BackendServer } from '../common/serving/ServingConfiguration.js';
import type { Logger } from '../telemetry/Logger.js';
import { RequestCrashes } from './RequestCrashes.js';
import type { TrafficObserver } from './ServerConnectionPool.js';
import type { RawHeaders, ServingProtocol } from './Types.js';
import type { Heartbeat } from './peers/PeerMessages.js';

/** Status with which a server turns a request away. */
const STATUS_UNAVAILABLE = 503;

/** Sources of cold periods that peers do not see at the same time. */
const OWN_DISCOVERIES: ReadonlySet<ColdSource> = new Set(['response', 'refusal', 'unreadable']);

/**
 * Age up to which streams are part of heartbeats, in ms, and most of them: the peers get each one
 * several times, also if the store is silent and datagrams are lost.
 */
const ANNOUNCED_STREAM_AGE_MS = 2000;
const MAX_ANNOUNCED_STREAMS = 200;

/** Most parts of prompts in a log line. */
const MAX_LOGGED_SUSPECTS = 16;

/** Dependencies of {@link ServerObservations}. */
export interface ServerObservationsServices extends ServerStatementsServices {
  readonly logger: Logger;
  readonly protocol: ServingProtocol;
  /** Sends the peers a heartbeat soon. */
  readonly announce?: () => void;
  /** @returns longest time from the begin of a stream until it is taken up, in ms */
  readonly streamLifetimeMs: () => number;
}

/** What this process and its peers know about backend servers besides their registrations. */
export class ServerObservations implements TrafficObserver {
  readonly records: ServerRecords;

  readonly statements: ServerStatements;

  readonly crashingParts: CrashingParts;

  readonly crashingRequests: CrashingRequests;

  readonly requestCrashes: RequestCrashes;

  readonly engineSpeeds: EngineSpeeds;

  readonly evacuations: EvacuationView;

  readonly streamOrigins: StreamOrigins;

  private readonly protocol: ServingProtocol;

  private readonly logger: Logger;

  constructor({ logger, protocol, ...services }: ServerObservationsServices) {
    const { clock } = services;
    this.logger = logger;
    this.protocol = protocol;
    this.records = new ServerRecords(clock);
    this.statements = new ServerStatements(services);
    this.crashingParts = new CrashingParts(clock);
    this.crashingRequests = new CrashingRequests(clock);
    this.requestCrashes = new RequestCrashes(this.crashingRequests, () => services.announce?.());
    this.engineSpeeds = new EngineSpeeds(clock);
    this.evacuations = new EvacuationView(clock);
    this.streamOrigins = new StreamOrigins(clock, services.streamLifetimeMs);
    const { limits, departures, pauses, cold } = this.statements;
    this.crashingParts.onFound(({ part, suspects, crashes }) =>
      logger.warn('prompt part crashes servers', {
        part,
        suspects: suspects.slice(0, MAX_LOGGED_SUSPECTS),
        suspectCount: suspects.length,
        crashes,
      }),
    );
    this.crashingParts.onCleared(({ part }) => logger.info('prompt part cleared', { part }));
    this.crashingRequests.onFound(({ request, crashes }) =>
      logger.warn('request crashes servers', { fingerprint: request, crashes }),
    );
    this.crashingRequests.onCleared(({ request }) =>
      logger.info('request cleared', { fingerprint: request }),
    );
    limits.onChanged((change) => logger.info('server limit changed', { ...change }));
    departures.onChanged((departure) => logger.info('server leaves', { ...departure }));
    departures.onEnded((server) => logger.info('departure or grace time ended', { server }));
    pauses.onChanged((pause) => logger.info('server pauses', { ...pause }));
    cold?.onDoubted((statement) =>
      logger.warn('statement of a cold period not taken as it is', { ...statement }),
    );
    cold?.onChanged(({ isCold, leftMs, ...change }) => {
      if (isCold) logger.info('server is cold', { ...change, leftMs: Math.round(leftMs) });
      else logger.info('cold period ended', { ...change });
      if (isCold && OWN_DISCOVERIES.has(change.source)) services.announce?.();
    });
  }

  /** Records that a request is sent to a server. */
  onRequest(server: BackendServer): void {
    this.statements.recordRequest(server);
  }

  /** Records what a server says of itself in a response, of whatever kind of request. */
  onResponse(server: BackendServer, status: number, headers: RawHeaders): void {
    const attributes = this.protocol.parseResponse(headers);
    const { requestsPerS, isLeaving, retryAfterMs, isRetryAfterInvalid } = attributes;
    const { coldMs, isColdMsUnreadable } = attributes;
    const isTurnedAway = status === STATUS_UNAVAILABLE;
    const pauseMs = isTurnedAway ? retryAfterMs : undefined;
    this.statements.recordResponse(server, {
      requestsPerS,
      isLeaving,
      pauseMs,
      coldMs,
      isColdMsUnreadable,
    });
    if (isTurnedAway && isRetryAfterInvalid) {
      this.logger.warn('unreadable Retry-After of a server ignored', { server: server.id });
    }
  }

  /** Records that a server refused a connection. */
  onRefusedConnection(server: BackendServer): void {
    this.statements.recordRefusedConnection(server);
  }

  /** Ends what is over. Called several times a second. */
  check(): void {
    this.statements.check();
  }

  /** The part of a heartbeat that peers {@link merge}. */
  get heartbeat(): Pick<
    Heartbeat,
    | 'engines'
    | 'engineSpeeds'
    | 'crashEvidence'
    | 'requestCrashEvidence'
    | 'serverLimits'
    | 'departures'
    | 'coldServers'
    | 'evacuations'
    | 'streamOrigins'
  > {
    return {
      engines: this.records.engineLoads(),
      engineSpeeds: this.engineSpeeds.report,
      crashEvidence: this.crashingParts.evidence,
      requestCrashEvidence: this.crashingRequests.evidence,
      serverLimits: this.statements.limits.reports,
      departures: this.statements.departures.reports,
      coldServers: this.statements.cold?.reports ?? {},
      evacuations: this.evacuations.report,
      streamOrigins: this.streamOrigins.ownGroups(ANNOUNCED_STREAM_AGE_MS, MAX_ANNOUNCED_STREAMS),
    };
  }

  /** Continues with what the previous heartbeat had no room for. */
  recordHeartbeatSent(): void {
    this.crashingParts.recordSent();
  }

  /** Adds what a peer has observed. */
  merge({
    id,
    engineSpeeds,
    crashEvidence,
    requestCrashEvidence,
    serverLimits,
    departures,
    coldServers,
    evacuations,
    streamOrigins,
  }: Heartbeat): void {
    this.engineSpeeds.merge(id, engineSpeeds);
    this.crashingParts.merge(crashEvidence);
    this.crashingRequests.merge(requestCrashEvidence);
    this.statements.limits.merge(serverLimits);
    this.statements.departures.merge(departures);
    this.statements.cold?.merge(coldServers);
    this.evacuations.merge(evacuations, id);
    this.streamOrigins.learn(streamOrigins);
  }

  /** Discards what belongs to a server that was removed or has restarted. */
  forget(server: BackendServer): void {
    this.records.forget(server.id);
    this.engineSpeeds.forget(server.id);
    this.statements.forget(server);
  }
}
