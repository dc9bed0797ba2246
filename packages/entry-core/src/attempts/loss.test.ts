import assert from 'node:assert/strict';
import { test } from 'node:test';
import { makeRequest, expectedAnswer, SimulatedCluster } from '../driver/index.js';

const engines = { 'wien-a': 2, 'wien-b': 2 };

/** Where the one request of a world runs now. */
function getRunningInstance(cluster: SimulatedCluster): string {
  const attempt = [...cluster.entry.state.attempts.values()][0];
  assert.ok(attempt !== undefined);
  return attempt.instance;
}

// The caller sees one whole answer, with a short pause. Its engine dies at the first, a middle or
// the last token; the entry resumes the stream at another engine from the tokens that were
// relayed. Nothing is given twice, for the engine goes on after the generated text.
for (const [place, tokens] of Object.entries({ first: 1, middle: 100, last: 199 })) {
  test(`an engine dies at the ${place} token`, () => {
    const cluster = new SimulatedCluster({ engines });
    const caller = cluster.entry.submitRequest(makeRequest('one'));
    while (caller.tokens.length < tokens) cluster.advance(10);
    cluster.engine(getRunningInstance(cluster)).die();
    cluster.runUntilAnswered();
    assert.deepEqual(cluster.findViolations(), []);
    assert.equal(caller.finalAnswers[0]?.type, 'whole');
    assert.equal(cluster.entry.count('retries/backendServerLost'), 1);
    assert.equal(cluster.entry.count('recomputedTokens/lossResume') >= 400, true);
    assert.equal(cluster.entry.count('recomputedTokensByWorkspace/wien-shops') >= 400, true);
  });
}

// The caller sees a whole answer after a pause. Its connection goes silent while new ones work; the
// entry times the stream out, and a probe over a new connection is answered. So the engine is kept,
// nobody is suspected, and the answer goes on by offset, here at the very same engine, the only one.
test('a connection goes silent and the backend server is kept', () => {
  const cluster = new SimulatedCluster({ engines: { 'wien-a': 1 } });
  const caller = cluster.entry.submitRequest(makeRequest('one'));
  while (caller.tokens.length < 50) cluster.advance(10);
  cluster.engine('wien-a-engine-1').streams.forEach((stream) => {
    stream.stalled = true;
  });
  cluster.runUntilAnswered();
  assert.deepEqual(cluster.findViolations(), []);
  assert.equal(caller.finalAnswers[0]?.type, 'whole');
  assert.equal(cluster.entry.count('retries/connectionSilent'), 1);
  assert.equal(cluster.entry.state.quarantine.suspects.size, 0);
  assert.equal(cluster.entry.state.quarantine.down.size, 0);
  assert.equal(
    cluster.entry.log.some((line) => line.includes('connectionOnlyLost')),
    true,
  );
});

// The caller sees its whole answer although its engine vanished without a word: no reset, and no
// answer to the probe either. The silence starts the probe; the second that it may take is the bound.
test('an engine vanishes without a word', () => {
  const cluster = new SimulatedCluster({ engines });
  const callers = ['one', 'two', 'three', 'four', 'five', 'six', 'seven', 'eight'].map((name) =>
    cluster.entry.submitRequest(makeRequest(name)),
  );
  cluster.advance(1000);
  const engine = cluster.engine('wien-a-engine-1');
  engine.unreachable = true;
  engine.streams.forEach((stream) => {
    stream.stalled = true;
  });
  engine.die();
  cluster.runUntilAnswered();
  assert.deepEqual(cluster.findViolations(), []);
  assert.equal(
    callers.every(({ finalAnswers }) => finalAnswers[0]?.type === 'whole'),
    true,
  );
  assert.equal(cluster.entry.state.quarantine.down.has('wien-a-engine-1'), true);
});

// The caller sees the first whole answer, once. Its first attempt gives nothing for so long that a
// second is started; then the first one's answer comes whole after all, before the second has given
// a token. It is used, and the second attempt is cancelled.
test('a late whole answer that comes first is used', () => {
  const cluster = new SimulatedCluster({ engines });
  const { entry } = cluster;
  const caller = entry.submitRequest(makeRequest('one', { maxTokens: 0 }));
  entry.send({ type: 'attemptSent', attemptId: 'one.1' });
  const failed = { type: 'attemptFailed', attemptId: 'one.1', failure: 'silent' } as const;
  entry.send({ ...failed, sent: 'maybe', tokens: 0, answerStarted: false });
  cluster.engines.forEach((engine) => engine.streams.clear());
  entry.send({ type: 'attemptFinished', attemptId: 'one.1', tokens: 0 });
  assert.equal(caller.finalAnswers.length, 1);
  assert.equal(caller.finalAnswers[0]?.type, 'whole');
  assert.equal(entry.state.attempts.size, 0);
  assert.equal(entry.state.retries.waiting.size, 0);
});

// The caller sees the answer of its second attempt only. The first one's whole answer comes when
// the second has already given tokens; using it would mix the two, so it is dropped and counted.
test('a late answer after a retry is dropped and counted', () => {
  const cluster = new SimulatedCluster({ engines });
  const { entry } = cluster;
  const request = makeRequest('one');
  const caller = entry.submitRequest(request);
  entry.send({ type: 'attemptSent', attemptId: 'one.1' });
  const failed = { type: 'attemptFailed', attemptId: 'one.1', failure: 'silent' } as const;
  entry.send({ ...failed, sent: 'maybe', tokens: 0, answerStarted: false });
  while (caller.tokens.length < 5) cluster.advance(10);
  entry.send({ type: 'attemptFinished', attemptId: 'one.1', tokens: 200 });
  assert.equal(caller.finalAnswers.length, 0);
  assert.equal(entry.count('lateAnswers/attemptGivenUp'), 1);
  cluster.runUntilAnswered();
  assert.deepEqual(cluster.findViolations(), []);
  assert.equal(caller.tokens.join(''), expectedAnswer(request));
});

// The callers wait about two and a half seconds, not six. The host is gone without a word: streams stall, which
// is noticed by the progress that does not come, and the unanswered probe tells for all of them.
test('a vanished host is noticed by its stalled streams', () => {
  const cluster = new SimulatedCluster({ engines: { 'wien-a': 1, 'wien-b': 1 }, losesHost: true });
  const callers = ['one', 'two'].map((name) => cluster.entry.submitRequest(makeRequest(name)));
  cluster.advance(1000);
  cluster.engine('wien-a-engine-1').die();
  cluster.advance(2800);
  assert.equal(cluster.entry.state.quarantine.down.has('wien-a-engine-1'), true);
  cluster.runUntilAnswered();
  assert.deepEqual(cluster.findViolations(), []);
  assert.equal(
    callers.every(({ finalAnswers }) => finalAnswers[0]?.type === 'whole'),
    true,
  );
});

// Callers see whole answers without a pause. One connection is reset and the probe goes unanswered, for the
// engine is too busy to accept; but the other streams still give tokens, so they are left alone.
test('an unanswered probe does not end streams that give tokens', () => {
  const cluster = new SimulatedCluster({ engines: { 'wien-a': 1 } });
  const callers = ['one', 'two', 'three'].map((name) =>
    cluster.entry.submitRequest(makeRequest(name)),
  );
  cluster.advance(1000);
  cluster.probesAnswered = false;
  const engine = cluster.engine('wien-a-engine-1');
  const [first] = engine.streams.values();
  assert.ok(first !== undefined);
  engine.streams.delete(first.attemptId);
  first.listener.lost();
  cluster.runUntilAnswered();
  assert.deepEqual(cluster.findViolations(), []);
  assert.equal(
    callers.every(({ finalAnswers }) => finalAnswers[0]?.type === 'whole'),
    true,
  );
  assert.equal(cluster.entry.count('retries/backendServerLost'), 1);
});
