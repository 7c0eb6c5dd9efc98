/** Sessions of callers and operators whose transcripts are compared with golden files. */
import { callEntry, type CallerAnswer, type CallerCall } from '../client/CallerClient.js';
import { callOperator, publish } from '../client/OperatorClient.js';
import { createAccount } from '../launch/InitialConfiguration.js';
import type { Cluster } from '../launch/Cluster.js';
import { Transcript } from './Transcript.js';

const DEADLINE_MS = 6000;

/** Runs a session on a cluster and returns its transcript. */
export type Session = (cluster: Cluster) => Promise<Transcript>;

async function streamedPlan(cluster: Cluster): Promise<Transcript> {
  const transcript = new Transcript();
  const input = { question: 'a lace pattern for a summer shawl' };
  const plan = callOf(cluster, { template: 'stitch-plan', input, streamed: true });
  transcript.add('POST stitch-plan as a stream', describe(await callEntry(plan)));
  const unknown = callOf(cluster, { template: 'no-such-plan', input });
  transcript.add('POST a template that does not exist', describe(await callEntry(unknown)));
  const unauthenticated = { ...plan, token: 'no-such-token' };
  transcript.add('POST with an unknown token', describe(await callEntry(unauthenticated)));
  return transcript;
}

async function depositTwice(cluster: Cluster): Promise<Transcript> {
  const transcript = new Transcript();
  const input = { details: { bandstand: 'ashdown', amount: 40 } };
  const deposit = callOf(cluster, { template: 'deposit', input, idempotencyKey: 'golden-key' });
  transcript.add('POST deposit', describe(await callEntry(deposit)));
  const retried = { ...deposit, address: cluster.entries[1]!.address };
  transcript.add('POST deposit again through another entry', describe(await callEntry(retried)));
  const changed = { ...deposit, input: { details: { bandstand: 'ashdown', amount: 41 } } };
  transcript.add('POST another deposit with the same key', describe(await callEntry(changed)));
  const withoutKey = callOf(cluster, { template: 'deposit', input });
  transcript.add('POST deposit without a key', describe(await callEntry(withoutKey)));
  const runs = await Promise.all(
    cluster.serversOf('bookings').map((server) => server.control.runs()),
  );
  const effects = runs.flat().map(({ account, operation, idempotencyKey, finished }) => ({
    account,
    operation,
    idempotencyKey,
    finished,
  }));
  transcript.add('effects counted by the booking service', effects);
  return transcript;
}

async function publishAndRace(cluster: Cluster): Promise<Transcript> {
  const transcript = new Transcript();
  const [first, second] = cluster.entries.map((entry) => entry.address) as [string, string];
  const { deployment } = cluster.options;
  const account = createAccount(deployment, deployment.accounts[0]!);
  const before = await callOperator(first, 'GET', 'configuration');
  const { revision } = before.body as { revision: number };
  const won = await publish(first, revision, { kind: 'account', value: { ...account, share: 7 } });
  transcript.add('publish a share of 7 through the first entry', won);
  const lost = await publish(second, revision, {
    kind: 'account',
    value: { ...account, share: 9 },
  });
  transcript.add('publish a share of 9 for the same revision through the second entry', lost);
  const invalid = await publish(first, revision + 1, {
    kind: 'account',
    value: { ...account, templates: { 'no-such-plan': { deadlineMs: 1000 } } },
  });
  transcript.add('publish an entitlement to a template that does not exist', invalid);
  const retired = await publish(first, revision + 1, { kind: 'template-retired', name: 'missing' });
  transcript.add('retire a template that does not exist', retired);
  return transcript;
}

/** Sessions by the name of their golden file. */
export const SESSIONS: Readonly<Record<string, Session>> = {
  'streamed-plan': streamedPlan,
  'deposit-twice': depositTwice,
  'publish-and-race': publishAndRace,
};

function callOf(
  cluster: Cluster,
  call: Pick<CallerCall, 'template' | 'input' | 'idempotencyKey' | 'streamed'>,
): CallerCall {
  return {
    address: cluster.entries[0]!.address,
    token: cluster.options.deployment.accounts[0]!.token,
    timeoutMs: DEADLINE_MS,
    ...call,
  };
}

function describe(answer: CallerAnswer): unknown {
  const { latencyMs, chunks, ...rest } = answer;
  return { ...rest, chunks: chunks.map(({ offset, text }) => ({ offset, text })) };
}
