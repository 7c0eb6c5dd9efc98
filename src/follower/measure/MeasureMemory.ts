/**
 * Measures the memory of a configuration and the CPU time of applying changes:
 * `node --expose-gc target/src/follower/measure/MeasureMemory.js --accounts 270 --templates 19`.
 * Prints one JSON line.
 */
import yargs from 'yargs';
import { ConfigurationState } from '../../common/configuration/ConfigurationState.js';
import { Change, type ChangeSubject } from '../../common/protocol/Configuration.js';

const STAGES = 5;
const TEMPLATES_PER_ACCOUNT = 3;
const DIGEST_DIGITS = 64;

const argv = await yargs(process.argv.slice(2))
  .option('accounts', { type: 'number', default: 270 })
  .option('templates', { type: 'number', default: 19 })
  .option('changes', { type: 'number', default: 500, describe: 'Further changes of accounts' })
  .strict()
  .parseAsync();

function heapBytes(): number {
  if (!global.gc) throw new Error('global.gc is not available; start Node.js with --expose-gc');
  global.gc();
  return process.memoryUsage().heapUsed;
}

const templateOf = (index: number): ChangeSubject => ({
  kind: 'template',
  value: {
    name: `template-${index}`,
    stages: Array.from({ length: STAGES }, (_, stage) => ({
      ...{ name: `stage-${stage}`, kind: 'generate', pool: 'engines', model: `model-${stage}` },
      ...{ idempotent: true, input: { prompt: '$request.text', maxTokens: 64 } },
      outputSchema: {
        type: 'object',
        required: ['text'],
        properties: { text: { type: 'string' } },
      },
    })),
  },
});

const createAccount = (index: number): ChangeSubject => ({
  kind: 'account',
  value: {
    ...{ id: `account-${index}`, priority: 5, share: 1 },
    tokenDigest: String(index).padStart(DIGEST_DIGITS, '0'),
    templates: Object.fromEntries(
      Array.from({ length: TEMPLATES_PER_ACCOUNT }, (_, offset) => [
        `template-${(index + offset) % Math.max(1, argv.templates)}`,
        { deadlineMs: 6000, stages: ['stage-0', 'stage-1', 'stage-2'] },
      ]),
    ),
  },
});

const state = new ConfigurationState();
let revision = 0;
let textBytes = 0;
const apply = (subject: ChangeSubject): void => {
  revision += 1;
  const value = { revision, changeId: `change-${revision}`, author: 'ann', at: revision, subject };
  const text = JSON.stringify(value);
  textBytes += text.length;
  // Parsed from text, as a change received over the network is.
  const change = Change.parse(JSON.parse(text));
  state.apply({ after: revision - 1, changes: [change] });
};
const heapBytesBefore = heapBytes();
for (let index = 0; index < argv.templates; index += 1) apply(templateOf(index));
for (let index = 0; index < argv.accounts; index += 1) apply(createAccount(index));
const heapBytesLoaded = heapBytes();
const averageBytes = Math.round(textBytes / revision);
const cpuBefore = process.cpuUsage();
for (let index = 0; index < argv.changes; index += 1) apply(createAccount(index % argv.accounts));
const used = process.cpuUsage(cpuBefore);
process.stdout.write(
  `${JSON.stringify({
    ...{ accounts: argv.accounts, templates: argv.templates },
    heapBytes: heapBytesLoaded - heapBytesBefore,
    changeTextBytes: averageBytes,
    cpuUsPerChange: Math.round((used.user + used.system) / Math.max(1, argv.changes)),
    heapBytesAfterChanges: heapBytes() - heapBytesBefore,
    revision: state.snapshot.revision,
  })}\n`,
);
