/** How each kind of fault is injected from outside the processes. */
import { setTimeout as sleep } from 'node:timers/promises';
import { BOUNDS } from './PromiseChecks.js';
import type {
  Disturbance,
  FaultKind,
  ScheduledFault,
  SoakDeployment,
  SoakHistory,
  SoakProcess,
  SoakServer,
} from './Types.js';

/** Key that comes and goes. */
export const EXTRA_KEY = { key: 'key-2', account: 'account-2' } as const;

/** What a fault acts on. */
export interface FaultContext {
  readonly deployment: SoakDeployment;
  readonly history: SoakHistory;
  readonly fault: ScheduledFault;
}

/** Injects a fault and resolves when it was taken back. */
type FaultAction = (context: FaultContext) => Promise<void>;

const READY_POLL_MS = 50;

/** Delay that is long beside the few ms of a call and short beside its time-out. */
const SLOW_LINK_MS = 120;

/** Steps of the store's clock. */
const CLOCK_STEP_MS = 3_600_000;

const now = (): number => performance.now();

const pick = <Item>(items: readonly Item[], choice: number): Item =>
  items[Math.floor(choice * items.length)]!;

/** A second choice that does not depend on the first one. */
const refine = (choice: number): number => (choice * 97) % 1;

const processOf = ({ deployment, fault }: FaultContext): SoakProcess =>
  pick(deployment.processes, fault.choice);

const serverOf = ({ deployment, fault }: FaultContext): SoakServer =>
  pick(deployment.servers, fault.choice);

/** Notes the disturbance while the fault lasts. */
async function disturb(
  { history, fault }: FaultContext,
  subject: string,
  during: () => Promise<void>,
): Promise<void> {
  const disturbance: Disturbance = { subject, kind: fault.kind, from: now(), to: Infinity };
  history.disturbances.push(disturbance);
  await during();
  disturbance.to = now();
}

async function restart(context: FaultContext, target: SoakProcess): Promise<void> {
  target.process.startUnready();
  Object.assign(target, { isRestarting: false });
  const giveUpAt = now() + BOUNDS.recoveryMs;
  while (now() < giveUpAt && target.process.running) {
    if (await context.deployment.isReady(target)) return;
    await sleep(READY_POLL_MS);
  }
}

/** Stops a process and starts it again after a pause; a process that restarts is left alone. */
async function cycle(
  context: FaultContext,
  stop: (target: SoakProcess) => Promise<void>,
): Promise<void> {
  const target = processOf(context);
  if (target.isRestarting || !target.process.running) return;
  Object.assign(target, { isRestarting: true });
  await stop(target);
  await disturb(context, target.name, async () => {
    await sleep(context.fault.forMs);
    await restart(context, target);
  });
}

/** Requests that run must end well, so that the time until the exit is no disturbance. */
async function terminate(context: FaultContext, target: SoakProcess): Promise<void> {
  const { deployment, history, fault } = context;
  const choice = refine(fault.choice);
  const wasReady = await deployment.isReady(target);
  const startedAt = now();
  const ended = target.process.terminate(BOUNDS.graceMs);
  await sleep(SLOW_LINK_MS);
  // Operators repeat themselves: a second order to stop or to read the settings changes nothing.
  if (choice < 0.3) target.process.signal('SIGTERM');
  else if (choice < 0.6) target.process.signal('SIGHUP');
  const isGraceful = await ended;
  // A signal that comes before the program's first line ends the process by default.
  if (!wasReady || (isGraceful && target.process.exitCode === 0)) return;
  const took = Math.round(now() - startedAt);
  history.observed.push(
    `ends after SIGTERM: ${target.name}, code ${target.process.exitCode}, ${took} ms`,
  );
}

async function disturbStore(
  context: FaultContext,
  fault: 'refuse' | 'silent' | 'lost-answer',
): Promise<void> {
  const { deployment } = context;
  await disturb(context, 'store', async () => {
    deployment.disturbStore(fault);
    await sleep(context.fault.forMs);
    deployment.disturbStore(undefined);
  });
}

async function disturbStoreLink(
  context: FaultContext,
  begin: (target: SoakProcess) => unknown,
): Promise<void> {
  const { storeLink, name } = processOf(context);
  // The link carries configuration and registrations only, so requests go on undisturbed.
  await disturb(context, `store of ${name}`, async () => {
    begin(processOf(context));
    await sleep(context.fault.forMs);
    storeLink.heal();
  });
}

async function disturbServerLink(
  context: FaultContext,
  begin: (server: SoakServer) => unknown,
): Promise<void> {
  const server = serverOf(context);
  await disturb(context, server.record.id, async () => {
    begin(server);
    await sleep(context.fault.forMs);
    server.link.heal();
  });
}

/** Each kind of fault with its action. */
export const FAULT_ACTIONS: Record<FaultKind, FaultAction> = {
  freeze: async (context) => {
    const target = processOf(context);
    if (target.isRestarting) return;
    await disturb(context, target.name, async () => {
      target.process.signal('SIGSTOP');
      await sleep(context.fault.forMs);
      target.process.signal('SIGCONT');
    });
  },
  kill: (context) =>
    cycle(context, (target) => disturb(context, target.name, () => target.process.kill())),
  terminate: (context) => cycle(context, (target) => terminate(context, target)),
  reload: async (context) => {
    const target = processOf(context);
    if (await context.deployment.isReady(target)) target.process.signal('SIGHUP');
  },
  storeLinkCut: (context) => disturbStoreLink(context, ({ storeLink }) => storeLink.refuse()),
  storeLinkSilent: (context) =>
    disturbStoreLink(context, ({ storeLink }) => storeLink.silence('both')),
  storeLinkSlow: (context) =>
    disturbStoreLink(context, ({ storeLink }) => storeLink.slow(SLOW_LINK_MS)),
  storeRefuses: (context) => disturbStore(context, 'refuse'),
  storeSilent: (context) => disturbStore(context, 'silent'),
  storeLosesAnswers: (context) => disturbStore(context, 'lost-answer'),
  storeHistoryLost: async ({ deployment }) => deployment.loseStoreHistory(),
  storeClockJumps: async ({ deployment, fault }) =>
    deployment.moveStoreClock((fault.choice - 0.5) * CLOCK_STEP_MS),
  serverLinkCut: (context) =>
    disturbServerLink(context, ({ link }) =>
      refine(context.fault.choice) < 0.5 ? link.refuse() : link.cutAll(),
    ),
  serverLinkSilent: (context) => disturbServerLink(context, ({ link }) => link.silence('both')),
  serverLinkOneWay: (context) =>
    disturbServerLink(context, ({ link }) =>
      link.silence(refine(context.fault.choice) < 0.5 ? 'requests' : 'answers'),
    ),
  serverLinkSlow: (context) => disturbServerLink(context, ({ link }) => link.slow(SLOW_LINK_MS)),
  serverMisbehaves: async (context) => {
    const server = serverOf(context);
    await disturb(context, server.record.id, async () => {
      server.misbehave(refine(context.fault.choice));
      await sleep(context.fault.forMs);
      server.misbehave(undefined);
    });
  },
  serverDrains: async (context) => {
    const { deployment, fault } = context;
    const server = serverOf(context);
    if (server.record.absences.some(({ to }) => to === Infinity)) return;
    const absence = { from: now(), to: Infinity };
    server.record.absences.push(absence);
    deployment.register(server, refine(fault.choice) < 0.5 ? 'draining' : 'gone');
    // Twice the bound, so that late arrivals are seen although other faults come between.
    await sleep(2 * BOUNDS.drainMs + fault.forMs);
    // A server that was replaced stays away.
    if (!deployment.servers.includes(server)) return;
    absence.to = now();
    deployment.register(server, 'ready');
  },
  serversSwapAddresses: async (context) => {
    const { deployment } = context;
    const first = serverOf(context);
    const second = deployment.servers.find(
      ({ record }) => record.service !== first.record.service,
    )!;
    await disturb(context, first.record.id, () =>
      disturb(context, second.record.id, () => deployment.swapAddresses(first, second)),
    );
  },
  keysChange: async (context) => {
    const { deployment, history } = context;
    const open = history.keys.filter(({ to }) => to === Infinity);
    const extra = open.find(({ key }) => key === EXTRA_KEY.key);
    if (extra) extra.to = now();
    else history.keys.push({ ...EXTRA_KEY, from: now(), to: Infinity });
    const accounts = history.keys
      .filter(({ to }) => to === Infinity)
      .map(({ key, account }) => [key, account] as const);
    deployment.publishKeys(Object.fromEntries(accounts));
  },
  rowMalformed: async ({ deployment }) => deployment.writeMalformedRow(),
};
