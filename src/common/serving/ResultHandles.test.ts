import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ResultHandles } from './ResultHandles.js';
import type { PieceOutcome } from './Types.js';
import { createServer, createTask } from './testing/fixtures.js';

const server = createServer('s1', { startedAtMs: 1 });

/** @returns pieces of a request */
function createPieces(attemptId: string, count = 2) {
  const task = createTask({ attemptId, pieces: count });
  return Array.from({ length: count }, (_, piece) => ({ taskId: 1, task, piece }));
}

const made = (...handles: string[]): PieceOutcome[] =>
  handles.map((handle) => ({ kind: 'made', handle }));

describe('ResultHandles', () => {
  it('ties an answer to its call by results that no earlier answer named', () => {
    const handles = new ResultHandles();
    assert.deepEqual(handles.accept(server, createPieces('a'), made('h1', 'h2')), { hasNew: true });
    // The same pieces may be produced again.
    assert.deepEqual(handles.accept(server, createPieces('a'), made('h1', 'h2')), {
      hasNew: false,
    });
    const late: PieceOutcome[] = [{ kind: 'late' }, { kind: 'no-room' }];
    assert.deepEqual(handles.accept(server, createPieces('b'), late), { hasNew: false });
  });

  it('rejects a copy of the answer to another call, and remembers nothing of it', () => {
    // Guards against results of another caller's request (review case 1).
    const handles = new ResultHandles();
    handles.accept(server, createPieces('a'), made('h1', 'h2'));
    const { problem, hasNew } = handles.accept(server, createPieces('b'), made('h3', 'h2'));
    assert.deepEqual([problem, hasNew], ['a handle of another piece', false]);
    assert.equal(handles.size, 2);
    assert.equal(handles.accept(server, createPieces('b'), made('h2', 'h1')).hasNew, false);
  });

  it('rejects too few, too many and repeated results', () => {
    const handles = new ResultHandles();
    [made('h1'), made('h1', 'h2', 'h3'), made('h1', 'h1'), []].forEach((outcomes) =>
      assert.ok(handles.accept(server, createPieces('a'), outcomes).problem),
    );
    assert.equal(handles.size, 0);
  });

  it('accepts a name that another server process used', () => {
    const handles = new ResultHandles();
    handles.accept(server, createPieces('a'), made('h1', 'h2'));
    const restarted = { ...server, startedAtMs: 2 };
    const other = createServer('s2', { startedAtMs: 1 });
    [restarted, other].forEach((maker) =>
      assert.deepEqual(handles.accept(maker, createPieces('b'), made('h1', 'h2')), {
        hasNew: true,
      }),
    );
  });

  it('remembers a bounded number of results', () => {
    const handles = new ResultHandles();
    for (let index = 0; index < 60_000; index += 1) {
      handles.accept(server, createPieces(`a${index}`, 1), made(`h${index}`));
    }
    assert.equal(handles.size, 8192);
  });
});
