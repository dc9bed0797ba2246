import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import {
  BackendServerFailure,
  HttpEngineAdapter,
  type CompletionBody,
  type CompletionStream,
} from '@hornbeampond/adapters';
import { FakeEngine, type FakeEngineOptions } from '../fakes/FakeEngine.js';
import { digestPrompt, generateText } from '../fakes/generateToken.js';

const body: CompletionBody = {
  model: 'appraiser',
  messages: [{ role: 'user', content: 'Condition of a near mint card, please' }],
  max_tokens: 12,
};
const wholeText = generateText(digestPrompt(body.messages), 0, 12);
const { signal } = new AbortController();

async function meet(t: TestContext, options: FakeEngineOptions = {}) {
  const engine = await FakeEngine.start({ model: 'appraiser', ...options });
  const adapter = new HttpEngineAdapter(engine);
  t.after(async () => {
    await adapter.close();
    await engine.close();
  });
  return { engine, adapter };
}

/** Reads a stream to its end or failure. */
async function readAll(stream: CompletionStream) {
  let text = '';
  let tokens = 0;
  let finishReason: string | undefined;
  let failure: unknown;
  try {
    for await (const chunk of stream) {
      if (chunk.type === 'token') {
        text += chunk.text;
        tokens += chunk.tokens;
      } else finishReason = chunk.finishReason;
    }
  } catch (error) {
    failure = error;
  }
  return { text, tokens, finishReason, failure };
}

function assertFailure(error: unknown, failure: string, sent: string): true {
  assert.ok(error instanceof BackendServerFailure, String(error));
  assert.deepEqual([error.failure, error.sent], [failure, sent]);
  return true;
}

test('a whole answer is streamed in order and ends once', async (t) => {
  const { engine, adapter } = await meet(t);
  const start = { attemptId: 'a-1', body, priority: 5, signal };
  const answer = await readAll(await adapter.startCompletion(start));
  assert.deepEqual(answer, {
    text: wholeText,
    tokens: 12,
    finishReason: 'stop',
    failure: undefined,
  });
  assert.equal(engine.counts.finished, 1);
});

test('a stream cut after 5 tokens is resumed on another engine byte for byte', async (t) => {
  // The caller is to see one answer. The first engine loses its connection after five tokens;
  // the second is given the text so far and generates the rest. Joined, the two parts are the
  // uninterrupted answer, because the second starts at the first one's last whole token.
  const first = await meet(t);
  const second = await meet(t);
  first.engine.cutStreamsAfter(5);
  const begun = await readAll(
    await first.adapter.startCompletion({ attemptId: 'a-1', body, priority: 5, signal }),
  );
  assertFailure(begun.failure, 'connectionLost', 'maybe');
  assert.equal(begun.tokens, 5);
  const resume = { generatedText: begun.text, generatedTokens: begun.tokens };
  const rest = await readAll(
    await second.adapter.startCompletion({ attemptId: 'a-2', body, resume, priority: 5, signal }),
  );
  assert.equal(begun.text + rest.text, wholeText);
  assert.equal(second.engine.counts.wrongResumes, 0);
});
