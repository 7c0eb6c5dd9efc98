/** Child process of the measurement: fake agents without delay. Sends their ids and addresses. */
import { FakeAgent } from '../testing/FakeAgent.js';
import { CHUNKS_PER_REQUEST } from './templates.js';

const AGENTS = 2;
const chunks = Array.from({ length: CHUNKS_PER_REQUEST }, (_, position) => `word${position} `);
const text = chunks.join('');

const agents = Array.from(
  { length: AGENTS },
  (_, position) =>
    new FakeAgent(`agent-${process.pid}-${position}`, ({ kind }) =>
      kind === 'generate'
        ? { kind: 'run', output: { text }, chunks }
        : { kind: 'run', output: { found: 1 } },
    ),
);
// Attempts are not retained, so that memory does not grow during a long run.
agents.forEach((agent) => agent.disableRecording());
await Promise.all(agents.map((agent) => agent.listen()));
process.send?.(agents.map(({ id, address }) => ({ id, address })));
process.on('disconnect', () => process.exit(0));
