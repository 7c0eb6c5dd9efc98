/** Injects each kind of fault from outside the processes. */
import { setTimeout as sleep } from 'node:timers/promises';
import { BOUNDS } from './HistoryChecks.js';
import type {
  Disturbance,
  FaultKind,
  ScheduledFault,
  SoakDeployment,
  SoakHistory,
  SoakProcess,
  SoakServer,
} from './Types.js';

/** API key that `keysChange` alternately adds to and removes from the configuration. */
export const TEMPORARY_KEY = { key: 'key-2', account: 'account-2' } as const;

/** Deployment, history and parameters that a fault action uses. */
export interface FaultContext {
  readonly deployment: SoakDeployment;
  readonly history: SoakHistory;
  readonly fault: ScheduledFault;
}

/** Injects a fault and resolves after the fault is cleared. */
type FaultAction = (context: FaultContext) => Promise<void>;

const READY_POLL_MS = 50;

/** Link delay; much longer than a call, which takes a few ms, and much shorter than its time-out. */
const LINK_DELAY_MS = 120;

/** Longest time until the operator and the servers write again after a restore, in ms. */
const MAX_REWRITE_DELAY_MS = 1500;

/** Range of the steps of the store's clock; a step is at most half of it in either direction. */
const CLOCK_STEP_RANGE_MS = 3_600_000;

/** Share of evacuations of all domains. Requests are only refused meanwhile. */
const ALL_DOMAINS_SHARE = 0.15;

/** Share of cold periods of all servers of a domain. */
const COLD_DOMAIN_SHARE = 0.3;

const now = (): number => performance.now();

const pick = <Item>(items: readonly Item[], choice: number): Item =>
  items[Math.floor(choice * items.length)]!;

/** Derives a second choice that does not correlate with the first one. */
const deriveChoice = (choice: number): number => (choice * 97) % 1;

const chosenProcess = ({ deployment, fault }: FaultContext): SoakProcess =>
  pick(deployment.processes, fault.choice);

const chosenServer = ({ deployment, fault }: FaultContext): SoakServer =>
  pick(deployment.servers, fault.choice);

/** Records a disturbance of the subject that lasts as long as the action runs. */
async function recordDisturbance(
  { history, fault }: FaultContext,
  subject: string,
  action: () => Promise<void>,
): Promise<void> {
  const disturbance: Disturbance = { subject, kind: fault.kind, from: now(), to: Infinity };
  history.disturbances.push(disturbance);
  await action();
  disturbance.to = now();
}

async function startUntilReady(context: FaultContext, target: SoakProcess): Promise<void> {
  target.process.startWithoutWaiting();
  Object.assign(target, { isRestarting: false });
  const deadline = now() + BOUNDS.recoveryMs;
  while (now() < deadline && target.process.isRunning) {
    if (await context.deployment.isReady(target)) return;
    await sleep(READY_POLL_MS);
  }
}

/** Stops a process and starts it again after a pause; does nothing while the process restarts. */
async function stopAndRestart(
  context: FaultContext,
  stop: (target: SoakProcess) => Promise<void>,
): Promise<void> {
  const target = chosenProcess(context);
  if (target.isRestarting || !target.process.isRunning) return;
  Object.assign(target, { isRestarting: true });
  await stop(target);
  await recordDisturbance(context, target.name, async () => {
    await sleep(context.fault.durationMs);
    await startUntilReady(context, target);
  });
}

/**
 * Sends SIGTERM. The time until the exit is not recorded as a disturbance, since running requests
 * have to complete normally during a graceful shutdown.
 */
async function terminate(context: FaultContext, target: SoakProcess): Promise<void> {
  const { deployment, history, fault } = context;
  const choice = deriveChoice(fault.choice);
  const wasReady = await deployment.isReady(target);
  const startedAt = now();
  const ended = target.process.terminate(BOUNDS.graceMs);
  await sleep(LINK_DELAY_MS);
  // A second SIGTERM, or a SIGHUP to reload the settings, must not affect the shutdown.
  if (choice < 0.3) target.process.signal('SIGTERM');
  else if (choice < 0.6) target.process.signal('SIGHUP');
  const isGraceful = await ended;
  // Before the program has installed its handlers, the default action of a signal ends the process.
  if (!wasReady || (isGraceful && target.process.exitCode === 0)) return;
  const tookMs = Math.round(now() - startedAt);
  history.observed.push(
    `no clean exit after SIGTERM: ${target.name}, exit code ${target.process.exitCode}, ${tookMs} ms`,
  );
}

async function injectStoreFault(
  context: FaultContext,
  fault: 'refuse' | 'silent' | 'lost-answer',
): Promise<void> {
  const { deployment } = context;
  await recordDisturbance(context, 'store', async () => {
    deployment.setStoreFault(fault);
    await sleep(context.fault.durationMs);
    deployment.setStoreFault(undefined);
  });
}

/** Takes the store away, and back with the rows of an earlier copy; their writers write again. */
async function restoreStore(context: FaultContext): Promise<void> {
  const { deployment, fault } = context;
  const restore = deployment.copyStore();
  await sleep(fault.durationMs);
  await recordDisturbance(context, 'store', async () => {
    deployment.setStoreFault('refuse');
    await sleep(LINK_DELAY_MS);
    restore();
    deployment.setStoreFault(undefined);
    await sleep(deriveChoice(fault.choice) * MAX_REWRITE_DELAY_MS);
    deployment.rewriteStore();
  });
}

/** Writes the operator's row for one or all failure domains, and removes it later. */
async function evacuate({ deployment, history, fault }: FaultContext): Promise<void> {
  const { failureDomains } = deployment;
  const domains =
    fault.choice < ALL_DOMAINS_SHARE
      ? failureDomains
      : [pick(failureDomains, deriveChoice(fault.choice))];
  const evacuations = domains.map((domain) => {
    deployment.setEvacuated(domain, true);
    const evacuation = { domain, from: now(), to: Infinity };
    history.evacuations.push(evacuation);
    return evacuation;
  });
  await sleep(fault.durationMs);
  evacuations.forEach((evacuation) => {
    Object.assign(evacuation, { to: now() });
    deployment.setEvacuated(evacuation.domain, false);
  });
}

/** Starts a cold period of a server or of all servers of its domain that are registered as ready. */
async function startColdPeriods(context: FaultContext): Promise<void> {
  const { deployment, fault } = context;
  const { record: chosen } = pick(deployment.servers, deriveChoice(fault.choice));
  const from = now();
  const to = from + fault.durationMs;
  deployment.servers
    .filter(({ record }) =>
      fault.choice < COLD_DOMAIN_SHARE ? record.domain === chosen.domain : record === chosen,
    )
    .filter(({ record }) => record.drainPeriods.every((period) => period.to < from))
    .filter(({ record }) => record.coldPeriods.every((period) => period.to < from))
    .forEach((server) => {
      server.record.coldPeriods.push({ from, to });
      deployment.startColdPeriod(server, fault.durationMs);
    });
}

async function injectStoreLinkFault(
  context: FaultContext,
  inject: (target: SoakProcess) => unknown,
): Promise<void> {
  const { storeLink, name } = chosenProcess(context);
  // The link carries only configuration and registrations; requests do not depend on it.
  await recordDisturbance(context, `store of ${name}`, async () => {
    inject(chosenProcess(context));
    await sleep(context.fault.durationMs);
    storeLink.clearFaults();
  });
}

async function injectServerLinkFault(
  context: FaultContext,
  inject: (server: SoakServer) => unknown,
): Promise<void> {
  const server = chosenServer(context);
  await recordDisturbance(context, server.record.id, async () => {
    inject(server);
    await sleep(context.fault.durationMs);
    server.link.clearFaults();
  });
}

/** Action of each kind of fault. */
export const FAULT_ACTIONS: Record<FaultKind, FaultAction> = {
  freeze: async (context) => {
    const target = chosenProcess(context);
    if (target.isRestarting) return;
    await recordDisturbance(context, target.name, async () => {
      target.process.signal('SIGSTOP');
      await sleep(context.fault.durationMs);
      target.process.signal('SIGCONT');
    });
  },
  kill: (context) =>
    stopAndRestart(context, (target) =>
      recordDisturbance(context, target.name, () => target.process.kill()),
    ),
  terminate: (context) => stopAndRestart(context, (target) => terminate(context, target)),
  reload: async (context) => {
    const target = chosenProcess(context);
    if (await context.deployment.isReady(target)) target.process.signal('SIGHUP');
  },
  storeLinkCut: (context) => injectStoreLinkFault(context, ({ storeLink }) => storeLink.refuse()),
  storeLinkSilent: (context) =>
    injectStoreLinkFault(context, ({ storeLink }) => storeLink.silence('both')),
  storeLinkSlow: (context) =>
    injectStoreLinkFault(context, ({ storeLink }) => storeLink.slow(LINK_DELAY_MS)),
  storeRefuses: (context) => injectStoreFault(context, 'refuse'),
  storeSilent: (context) => injectStoreFault(context, 'silent'),
  storeLosesAnswers: (context) => injectStoreFault(context, 'lost-answer'),
  storeHistoryLost: async ({ deployment }) => deployment.dropStoreHistory(),
  storeRestored: restoreStore,
  evacuation: evacuate,
  serverCold: startColdPeriods,
  storeClockJumps: async ({ deployment, fault }) =>
    deployment.shiftStoreClock((fault.choice - 0.5) * CLOCK_STEP_RANGE_MS),
  serverLinkCut: (context) =>
    injectServerLinkFault(context, ({ link }) =>
      deriveChoice(context.fault.choice) < 0.5 ? link.refuse() : link.cutAll(),
    ),
  serverLinkSilent: (context) => injectServerLinkFault(context, ({ link }) => link.silence('both')),
  serverLinkOneWay: (context) =>
    injectServerLinkFault(context, ({ link }) =>
      link.silence(deriveChoice(context.fault.choice) < 0.5 ? 'requests' : 'answers'),
    ),
  serverLinkSlow: (context) =>
    injectServerLinkFault(context, ({ link }) => link.slow(LINK_DELAY_MS)),
  serverMisbehaves: async (context) => {
    const server = chosenServer(context);
    await recordDisturbance(context, server.record.id, async () => {
      server.setFault(deriveChoice(context.fault.choice));
      await sleep(context.fault.durationMs);
      server.setFault(undefined);
    });
  },
  serverDrains: async (context) => {
    const { deployment, fault } = context;
    const server = chosenServer(context);
    if (server.record.drainPeriods.some(({ to }) => to === Infinity)) return;
    const drainPeriod = { from: now(), to: Infinity };
    server.record.drainPeriods.push(drainPeriod);
    deployment.register(server, deriveChoice(fault.choice) < 0.5 ? 'draining' : 'gone');
    // Twice the bound, so that late arrivals are detected even when other faults overlap.
    await sleep(2 * BOUNDS.drainMs + fault.durationMs);
    // A server that was replaced is not registered again.
    if (!deployment.servers.includes(server)) return;
    drainPeriod.to = now();
    deployment.register(server, 'ready');
  },
  serversSwapAddresses: async (context) => {
    const { deployment } = context;
    const first = chosenServer(context);
    const second = deployment.servers.find(
      ({ record }) => record.service !== first.record.service,
    )!;
    await recordDisturbance(context, first.record.id, () =>
      recordDisturbance(context, second.record.id, () => deployment.swapAddresses(first, second)),
    );
  },
  keysChange: async (context) => {
    const { deployment, history } = context;
    const current = history.keys.filter(({ to }) => to === Infinity);
    const temporary = current.find(({ key }) => key === TEMPORARY_KEY.key);
    if (temporary) temporary.to = now();
    else history.keys.push({ ...TEMPORARY_KEY, from: now(), to: Infinity });
    const accounts = history.keys
      .filter(({ to }) => to === Infinity)
      .map(({ key, account }) => [key, account] as const);
    deployment.publishKeys(Object.fromEntries(accounts));
  },
  rowMalformed: async ({ deployment }) => deployment.writeMalformedRow(),
};
