import assert from 'node:assert/strict';
import { test } from 'node:test';
import { chooseCulprits, type UnexplainedCrash } from './chooseCulprits.js';

let requests = 0;

/** A crash each second, with a new request for each list of parts. */
function makeCrashes(...crashes: readonly (readonly (readonly string[])[])[]): UnexplainedCrash[] {
  return crashes.map((prompts, second) => {
    const candidates = new Map<string, Set<string>>();
    prompts.forEach((parts) => {
      requests += 1;
      parts.forEach((part) =>
        candidates.set(part, (candidates.get(part) ?? new Set()).add(`digest-${requests}`)),
      );
    });
    return { at: second * 1000, candidates };
  });
}

test('a part that three crashes have in common is the culprit', () => {
  const crashes = makeCrashes([['bad', 'a'], ['b']], [['bad', 'c']], [['d'], ['bad', 'b']]);
  assert.deepEqual(chooseCulprits(crashes), [['bad']]);
  assert.deepEqual(chooseCulprits(crashes.slice(1)), []);
});

// Guards against servers that crash together, or several times under one request, for another reason.
test('crashes at the same moment count as one, and so do those of one request', () => {
  const crashes = makeCrashes([['bad']], [['bad']], [['bad']]);
  assert.deepEqual(chooseCulprits(crashes.map((crash) => ({ ...crash, at: 5000 }))), []);
  const candidates = new Map([['bad', new Set(['digest'])]]);
  const ofOneRequest = [1000, 2000, 3000].map((at) => ({ at, candidates }));
  assert.deepEqual(chooseCulprits(ofOneRequest), []);
});

// Guards against a part that is refused for another one that stands beside it in each prompt so far.
test('parts that only come together are refused together, until a crash tells them apart', () => {
  const together = makeCrashes([['bad', 'beside']], [['beside', 'bad']], [['bad', 'beside']]);
  assert.deepEqual(chooseCulprits(together), [['bad', 'beside']]);
  const apart = [...together, ...makeCrashes([], [], [], [['bad']])];
  assert.deepEqual(chooseCulprits(apart), [['bad']]);
});

test('two culprits are found beside each other', () => {
  const both = [['one'], ['two']];
  const crashes = makeCrashes([['one']], [['two'], ['a']], [['one']], [['two']], both);
  assert.deepEqual(chooseCulprits(crashes), []);
  const more = [...crashes, ...makeCrashes([], [], [], [], [], [['two']], [['one']])];
  assert.deepEqual(chooseCulprits(more).flat().sort(), ['one', 'two']);
});

// Guards against a sound part that was among the requests at crashes which have another cause.
test('crashes that a culprit explains do not count against other parts', () => {
  const crashes = makeCrashes(
    [['bad'], ['sound']],
    [['bad'], ['sound']],
    [['bad'], ['sound']],
    [['bad']],
  );
  assert.deepEqual(chooseCulprits(crashes), [['bad']]);
});

test('nothing is decided while two parts explain as many crashes and share some of them', () => {
  const crashes = makeCrashes([['one']], [['one'], ['two']], [['one'], ['two']], [['two']]);
  assert.deepEqual(chooseCulprits(crashes), []);
});

test('one crash is enough for a part that was a culprit before', () => {
  const crashes = makeCrashes([['bad'], ['a', 'b']]);
  assert.deepEqual(
    chooseCulprits(crashes, (part) => part === 'bad'),
    [['bad']],
  );
});

// Guards against sound parts that are refused because most servers crash at once, again and again.
test('a moment at which most servers crash without the part does not count against it', () => {
  const others = Array.from({ length: 5 }, () => ({ at: 0, candidates: new Map() }));
  const crashes = makeCrashes([['rare']], [['rare']], [['rare']], [['rare']]);
  const waves = crashes.flatMap((crash) => [
    crash,
    ...others.map((other) => ({ ...other, at: crash.at + 50 })),
  ]);
  assert.deepEqual(chooseCulprits(waves), []);
  assert.deepEqual(chooseCulprits(crashes), [['rare']]);
});

// Guards against a common part, with which no request has been answered yet since many servers have crashed, that
// hides the culprit of other crashes.
test('a culprit is found beside a part that was held at many crashes of one moment', () => {
  const crashes = makeCrashes([['bad']], [['bad']], [['bad']]);
  const wave = makeCrashes(...Array.from({ length: 8 }, () => [['common']]));
  const atOnce = wave.map((crash) => ({ ...crash, at: 9000 }));
  assert.deepEqual(chooseCulprits([...crashes, ...atOnce]), [['bad']]);
});
