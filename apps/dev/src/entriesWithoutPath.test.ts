import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { cutKinds, type CutKind } from '@hornbeampond/testing';
import { EntryGroup } from './testing/EntryGroup.js';

/** After this time an entry has to serve by what it can still reach. */
const STABLE_WINDOW_MILLISECONDS = 3000;

const NEAR = 'laptop';
const FAR = 'elsewhere';

const CALLS = 20;

/** First tries at entries that are cut off must be served this often, compared with the others. */
const LEAST_SERVED_FRACTION = 2 / 3;

/** Cuts entries off and lets callers come; what they get in the first seconds does not count. */
async function cutOff(group: EntryGroup, entries: readonly number[], kind: CutKind): Promise<void> {
  await Promise.all(entries.map(async (entry) => group.cutOff(entry, kind)));
  const cutAt = Date.now();
  while (Date.now() - cutAt < STABLE_WINDOW_MILLISECONDS) {
    entries.forEach((entry) => {
      void group.countServed(entry, 1, 'stream');
      void group.countServed(entry, 1, 'call');
    });
    await wait(150);
  }
}

cutKinds.forEach((kind) => {
  // Guards against callers whose requests fail one after the other at an entry that has lost its paths to
  // all backend servers, while entries beside it reach them.
  test(`callers of an entry without a path to any backend server are served (${kind})`, async (context) => {
    const group = await EntryGroup.start([NEAR, NEAR, NEAR]);
    context.after(async () => group.close());
    await cutOff(group, [0], kind);
    const [stream, call, streamElsewhere, callElsewhere] = await Promise.all([
      group.countServed(0, CALLS, 'stream'),
      group.countServed(0, CALLS, 'call'),
      group.countServed(1, CALLS, 'stream'),
      group.countServed(1, CALLS, 'call'),
    ]);
    assert.deepEqual([streamElsewhere, callElsewhere], [CALLS, CALLS]);
    const served = `${stream} streams and ${call} calls of ${CALLS} each were served`;
    assert.ok(stream >= CALLS * LEAST_SERVED_FRACTION, served);
    assert.ok(call >= CALLS * LEAST_SERVED_FRACTION, served);
  });
});

// A whole data centre loses its paths. Guards against entries that ask only each other for tunnels,
// because they are near, and never find out that those are cut off too.
test('callers are served where all entries of a data centre have lost their paths', async (context) => {
  const group = await EntryGroup.start([NEAR, NEAR, NEAR, NEAR, FAR, FAR]);
  context.after(async () => group.close());
  const cut = [0, 1, 2, 3];
  await cutOff(group, cut, 'silent');
  const served = await Promise.all(
    cut.flatMap((entry) => [
      group.countServed(entry, CALLS, 'stream'),
      group.countServed(entry, CALLS, 'call'),
    ]),
  );
  served.forEach((count) => assert.ok(count >= CALLS * LEAST_SERVED_FRACTION, served.join(' ')));
});
