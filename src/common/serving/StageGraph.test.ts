import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { StageGraph } from './StageGraph.js';

const STAGES = [
  { service: 'images', dependsOn: [], resultBytes: 3000 },
  { service: 'text', dependsOn: [], resultBytes: 8 },
  { service: 'rank', dependsOn: [1], resultBytes: 60 },
  { service: 'list', dependsOn: [2], resultBytes: 6 },
];

const readyStages = (graph: StageGraph) => graph.startReady().map(({ stage }) => stage);

describe('StageGraph', () => {
  it('starts each stage once, when all its inputs are complete', () => {
    const graph = new StageGraph(STAGES, [2, 1, 2, 1]);
    assert.deepEqual(readyStages(graph), [0, 1]);
    assert.deepEqual(readyStages(graph), []);
    graph.complete(1, ['t0'], 0);
    const [rank] = graph.startReady();
    assert.deepEqual(rank?.inputs, ['t0']);
    assert.equal(rank?.inputBytes, 8);
    graph.complete(2, ['r0', 'r1'], 0);
    assert.deepEqual(readyStages(graph), [3]);
  });

  it('skips stages without pieces', () => {
    const graph = new StageGraph(STAGES, [0, 1, 1, 1]);
    assert.deepEqual(readyStages(graph), [1]);
  });

  it('returns as final exactly the results that no other stage reads', () => {
    // Guards against a request that reads missing, duplicate or another stage's results.
    const graph = new StageGraph(STAGES, [1, 1, 1, 2]);
    graph.complete(0, ['i0'], 0);
    graph.complete(1, ['t0'], 0);
    graph.complete(2, ['r0'], 0);
    graph.complete(3, ['l0', 'l1'], 0);
    assert.deepEqual(graph.finalHandles(), ['i0', 'l0', 'l1']);
    assert.equal(graph.isComplete, true);
  });

  it('reports a stage as consumed once all its readers are complete', () => {
    const graph = new StageGraph(STAGES, [1, 1, 1, 1]);
    graph.complete(1, ['t0'], 0);
    graph.complete(2, ['r0'], 0);
    assert.deepEqual(graph.releasableAfter(2), [1]);
    assert.deepEqual(graph.releasableAfter(1), []);
  });

  it('knows until when the inputs of a stage are stored', () => {
    // Guards against stages that wait for their turn longer than servers keep their inputs: their
    // calls return without results, and their callers learn late that the request has not run.
    const stages = [...STAGES, { service: 'merge', dependsOn: [0, 3], resultBytes: 1 }];
    const graph = new StageGraph(stages, [1, 1, 1, 1, 1]);
    const retentionMs = (service: string) => (service === 'images' ? 4000 : 1000);
    graph.complete(0, ['i0'], 100);
    graph.complete(3, ['l0'], 2000);
    assert.equal(graph.inputsStoredUntil(1, retentionMs), Infinity);
    assert.equal(graph.inputsStoredUntil(4, retentionMs), 3000);
  });
});
