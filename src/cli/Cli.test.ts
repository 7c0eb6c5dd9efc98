import assert from 'node:assert/strict';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, beforeEach, test } from 'node:test';
import {
  createOperatorFixture,
  OPERATOR_TOKEN,
  type OperatorFixture,
} from '../entry/operator/testing/OperatorFixture.js';
import { LEDGER_TABLE, ledgerKey, type LedgerRow } from '../common/protocol/Ledger.js';
import { runCli } from './Cli.js';

const TEMPLATE = `{
  // Two stages.
  "name": "plan",
  "stages": [
    { "name": "find", "kind": "retrieve", "pool": "archive", "input": { "vector": "$request.vector" } },
    { "name": "draft", "kind": "generate", "pool": "engines", "model": "m1",
      "input": { "prompt": "$request.text", "documents": "$find.documents" } },
  ],
}`;

let directory: string;
let fixture: OperatorFixture;
before(async () => {
  directory = await mkdtemp(join(tmpdir(), 'citronstage-cli-'));
});
after(async () => {
  await fixture.stop();
  await rm(directory, { recursive: true });
});
beforeEach(async () => {
  await fixture?.stop();
  fixture = await createOperatorFixture();
});

const file = async (name: string, text: string): Promise<string> => {
  const path = join(directory, name);
  await writeFile(path, text);
  return path;
};

const run = async (...args: string[]) => {
  const out: string[] = [];
  const err: string[] = [];
  const code = await runCli([...args, '--entry', fixture.url], '0.0.0', {
    out: (line) => out.push(line),
    err: (line) => err.push(line),
    environment: { CITRONSTAGE_TOKEN: OPERATOR_TOKEN },
  });
  return { code, out: out.join('\n'), err: err.join('\n') };
};

test('a change that loses a race exits with 1 and names the winning change, so that it is not overwritten', async () => {
  const path = await file('plan.jsonc', TEMPLATE);
  assert.deepEqual(await run('template', 'publish', path), {
    code: 0,
    out: 'revision 1 published',
    err: '',
  });
  const lost = await run('template', 'change', path, '--expected-revision', '0');
  assert.equal(lost.code, 1);
  assert.match(lost.err, /conflict: revision 1 was made first by ann at .*: template "plan"/);
  assert.match((await run('template', 'list')).out, /plan\s+find > draft/);
});

test('publishing an existing name is refused, so that no template is replaced by mistake', async () => {
  const path = await file('plan.jsonc', TEMPLATE);
  await run('template', 'publish', path);
  const again = await run('template', 'publish', path);
  assert.equal(again.code, 2);
  assert.match(again.err, /published already/);
});

test('errors of the schema, of unknown fields and of the entry name file, line and field', async () => {
  const wrong = await file('wrong.jsonc', TEMPLATE.replace('"generate"', '"guess"'));
  assert.match((await run('template', 'publish', wrong)).err, /wrong\.jsonc:6: stages\.1\.kind: /);
  const misspelt = await file('misspelt.jsonc', TEMPLATE.replace('"model"', '"modle"'));
  const unknown = await run('template', 'publish', misspelt);
  assert.equal(unknown.code, 2);
  assert.match(unknown.err, /misspelt\.jsonc:6: stages\.1\.modle: unknown field/);
  const dangling = await file('dangling.jsonc', TEMPLATE.replace('$find.', '$fnd.'));
  const refused = await run('template', 'publish', dangling);
  assert.equal(refused.code, 1);
  assert.match(refused.err, /dangling\.jsonc:7: stages\.1\.input\.documents: .*earlier stage/);
});

test('a drain reaches the agent while the store is down and reports that the configuration is unchanged', async () => {
  fixture.store.chooseFault = () => 'unavailable';
  const partial = await run('server', 'drain', 'engine-1');
  assert.equal(partial.code, 0);
  assert.match(partial.out, /agent of engine-1: draining, 2 running\nconfiguration not changed: /);
  assert.equal(fixture.isAgentDraining(), true);
  fixture.store.chooseFault = () => undefined;
  await run('server', 'drain', 'engine-1');
  assert.match((await run('server', 'list')).out, /engine-1\s+draining/);
  await run('server', 'resume', 'engine-1');
  assert.equal(fixture.isAgentDraining(), false);
  assert.match((await run('server', 'list')).out, /engine-1\s+in use/);
});

test('status lists a process that does not answer, so that an operator does not overlook it', async () => {
  assert.match((await run('status')).out, /agent\s+agent-1.*engine-1 in engines: 2\/4 running/);
  await fixture.stopAgent();
  assert.match((await run('status')).out, /agent\s+agent-1.*no answer/);
});

test('explain shows the decisions about a request and exits with 1 for an unknown request', async () => {
  assert.match((await run('explain', 'entry-1-7')).out, /draft\s+route\s+least loaded of two/);
  const unknown = await run('explain', 'entry-1-8', '--json');
  assert.equal(unknown.code, 1);
  assert.equal(JSON.parse(unknown.out).error.kind, 'not-found');
});

test('a call with an invalid token changes nothing; invalid arguments exit with 2', async () => {
  const tokenFile = await file('token', 'other\n');
  const refused = await run('server', 'add', 'engine-9', '--token-file', tokenFile);
  assert.equal(refused.code, 1);
  assert.match(refused.err, /^unauthenticated: /);
  assert.match((await run('revision')).out, /^0 /);
  assert.equal((await run('template', 'publish')).code, 2);
  assert.equal((await run('nonsense')).code, 2);
});

test('cost shows the counts of agents and entries as table, CSV, JSON and an HTML page that works offline', async () => {
  const work = { agentId: 'a1', agentIncarnation: 'i1', account: 'acme', template: 'plan' };
  const entry = (attempts: number) => ({
    ...work,
    month: '2026-03',
    stage: 'draft',
    class: 'useful' as const,
    usage: { acceleratorMs: attempts * 500, tokensIn: attempts, tokensOut: 0, calls: attempts },
    attempts,
  });
  for (const [writer, attempts] of [['agent', 8] as const, ['entry', 10] as const]) {
    const row: LedgerRow = {
      ...{ writer, writerId: 'w', incarnation: 'i', sequence: 1 },
      entries: [entry(attempts)],
    };
    const address = { table: LEDGER_TABLE, key: `${ledgerKey(row)}/2026-03/0` };
    fixture.store.table.transaction({ checks: [], writes: [{ ...address, value: row }] });
  }
  const prices = await file('prices.jsonc', '{ "currency": "EUR", "standard": { "call": 2 } }');
  const csv = await run('cost', '--month', '2026-03', '--format', 'csv', '--prices', prices);
  assert.match(csv.out, /AMOUNT \(EUR\)\n2026-03,acme,plan,draft,10,10,0,5,0,4,5,20$/);
  assert.match((await run('cost')).out, /acme +plan +draft +10 /);
  assert.equal(JSON.parse((await run('cost', '--json')).out).lines[0].amount, 5);
  const page = (await run('cost', '--format', 'html')).out;
  assert.match(page, /<svg/);
  assert.doesNotMatch(page, /<script|src=|href="http/);
  assert.equal((await run('cost', '--month', 'March')).code, 2);
});

test('a forecast reads all pages of the ledger and the published templates', async () => {
  await run('template', 'publish', await file('plan.jsonc', TEMPLATE));
  const account = `{ "id": "acme", "tokenDigest": "${'a'.repeat(64)}", "templates": { "plan": { "deadlineMs": 6000 } } }`;
  assert.equal((await run('account', 'publish', await file('acme.jsonc', account))).code, 0);
  const yesterday = Date.now() - 86_400_000;
  for (let agent = 0; agent < 20; agent += 1) {
    const days = Array.from({ length: 14 }, (_, index) => {
      const date = new Date(yesterday - index * 86_400_000).toISOString();
      return { month: date.slice(0, 7), day: date.slice(8, 10) };
    });
    const entries = days.map(({ month, day }) => ({
      ...{ agentId: `a${agent}`, agentIncarnation: 'i', account: 'acme', template: 'plan' },
      ...{ month, stage: 'draft', class: 'useful' as const, attempts: 100 },
      usage: { acceleratorMs: 50_000, tokensIn: 0, tokensOut: 0, calls: 100 },
      days: { [day]: [100, 50_000] as [number, number] },
    }));
    const row: LedgerRow = {
      ...{ writer: 'agent', writerId: `a${agent}`, incarnation: 'i', sequence: 1, entries },
    };
    const address = { table: LEDGER_TABLE, key: `${ledgerKey(row)}/x/0` };
    fixture.store.table.transaction({ checks: [], writes: [{ ...address, value: row }] });
  }
  const forecast = JSON.parse((await run('forecast', '--month', '2031-04', '--json')).out);
  const draft = forecast.lines.find((line: { stage: string }) => line.stage === 'draft');
  // 20 agents with 100 requests of 0.5 s each per day, for 30 days.
  assert.ok(Math.abs(draft.amount / 30_000 - 1) < 0.01, `amount ${draft.amount}`);
  assert.ok(draft.low < draft.amount && draft.amount < draft.high);
  const page = (await run('forecast', '--format', 'html')).out;
  assert.match(page, /Forecast for \d{4}-\d{2}/);
  assert.equal(page.match(/<svg/g)?.length, 3);
  assert.match((await run('forecast', '--format', 'csv')).out, /,acme,plan,draft,/);
});
