import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ConfigurationModel } from './testing/ConfigurationModel.js';

/** Number of events that follow the start of a search. */
const DEPTH = Number(process.env.CONFIGURATION_MODEL_DEPTH ?? 5);

/** @returns model after the events, each of which has to be possible and right */
function play(events: readonly string[]): ConfigurationModel {
  return events.reduce((model, event) => {
    const next = model.after(event);
    assert.ok(next, `${event} is not possible`);
    assert.equal(next.violationAfter(model, event), undefined, events.join(', '));
    return next;
  }, new ConfigurationModel());
}

/**
 * Follows all sequences of events from a state; fails at the first step that is wrong.
 * @returns number of states
 */
function search(start: ConfigurationModel): number {
  const seen = new Set([start.key]);
  let frontier = [{ model: start, path: [] as string[] }];
  for (let length = 0; length < DEPTH; length += 1) {
    frontier = frontier.flatMap(({ model, path }) =>
      ConfigurationModel.eventNames.flatMap((event) => {
        const next = model.after(event);
        if (!next || seen.has(next.key)) return [];
        seen.add(next.key);
        const steps = [...path, event];
        assert.equal(next.violationAfter(model, event), undefined, steps.join(', '));
        return [{ model: next, path: steps }];
      }),
    );
  }
  return seen.size;
}

// Guards against an older configuration that is in force again after a restore of the store (review
// case 4), and against processes that stay behind for ever.
describe('order of configurations in all short histories', () => {
  const starts: Record<string, string[]> = {
    'from the start': ['tick'],
    'after a restore': ['tick', 'copy', 'write', 'tick', 'restart 2', 'tick', 'restore'],
    'after a restore that only one process remembers the copy of': [
      ...['tick', 'copy', 'write', 'tick', 'write', 'tick'],
      ...['restart 1', 'restart 2', 'tick', 'restore'],
    ],
  };
  Object.entries(starts).forEach(([name, events]) => {
    it(`undoes nothing and leaves nobody behind ${name}`, (context) => {
      context.diagnostic(`${search(play(events))} states`);
    });
  });
});
