import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RecentEntryUsage } from './RecentEntryUsage.js';

// An entry restarts in the middle of a window. Guards against losing the counts from before.
test('each incarnation of an entry keeps its own counts', () => {
  const recentUsage = new RecentEntryUsage();
  recentUsage.record({ instance: 'entry-1', incarnation: 1, begun: { 7: { workspace1: 20 } } });
  recentUsage.record({ instance: 'entry-1', incarnation: 2, begun: { 7: { workspace1: 3 } } });
  recentUsage.record({ instance: 'entry-1', incarnation: 2, begun: { 7: { workspace1: 5 } } });
  assert.deepEqual(recentUsage.reports, [
    { instance: 'entry-1', incarnation: 1, begun: { 7: { workspace1: 20 } } },
    { instance: 'entry-1', incarnation: 2, begun: { 7: { workspace1: 5 } } },
  ]);
});

test('old windows are removed, and so are incarnations without newer ones', () => {
  const recentUsage = new RecentEntryUsage();
  recentUsage.record({ instance: 'entry-1', incarnation: 1, begun: { 7: { workspace1: 20 } } });
  recentUsage.record({
    instance: 'entry-2',
    incarnation: 1,
    begun: { 10: { workspace1: 1 }, 11: {} },
  });
  assert.deepEqual(recentUsage.reports, [
    { instance: 'entry-2', incarnation: 1, begun: { 10: { workspace1: 1 }, 11: {} } },
  ]);
});
