/** Templates that the measurement requests. */

/** Chunks of a streamed response. */
export const CHUNKS_PER_REQUEST = 200;

const call = { kind: 'call', pool: 'pool', operation: 'find', input: { body: '$request.text' } };

export const TEMPLATES = [
  { name: 'one-stage', stages: [{ ...call, name: 'find' }] },
  { name: 'four-stages', stages: ['a', 'b', 'c', 'd'].map((name) => ({ ...call, name })) },
  {
    name: 'stream',
    stages: [{ name: 'write', kind: 'generate', pool: 'pool', input: { prompt: '$request.text' } }],
  },
];
