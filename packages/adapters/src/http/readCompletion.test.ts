import assert from 'node:assert/strict';
import { test } from 'node:test';
import { BackendServerFailure } from '../BackendServerFailure.js';
import type { CompletionChunk } from '../EngineAdapter.js';
import { readCompletion } from './readCompletion.js';
import { MAX_LINE_CHARACTERS } from './EventDataSplitter.js';

function encodeChunk(choice: object, rest: object = {}): string {
  return `data: ${JSON.stringify({ choices: [choice], ...rest })}\n\n`;
}

async function* splitIntoChunks(text: string, size: number): AsyncGenerator<Uint8Array> {
  const bytes = Buffer.from(text);
  for (let start = 0; start < bytes.length; start += size)
    yield bytes.subarray(start, start + size);
}

async function readAll(text: string, size = 7): Promise<CompletionChunk[]> {
  const chunks: CompletionChunk[] = [];
  const answer = { body: splitIntoChunks(text, size), markComplete: () => {} };
  for await (const chunk of readCompletion(answer)) chunks.push(chunk);
  return chunks;
}

const completeStream = [
  ': a comment\r\n\r\n',
  encodeChunk({ delta: { role: 'assistant', content: '' } }),
  encodeChunk({ delta: { content: 'près 車' } }, { tokens: 2 }),
  encodeChunk({ delta: {}, finish_reason: 'stop' }),
  'data: {"choices":[],"usage":{"prompt_tokens":3,"completion_tokens":2}}\n\n',
  'data: [DONE]\n\n',
].join('');

test('a stream yields the same chunks however its bytes are split', async () => {
  const expected = [
    { type: 'token', text: 'près 車', tokens: 2 },
    { type: 'end', finishReason: 'stop', usage: { promptTokens: 3, completionTokens: 2 } },
  ];
  for (const size of [1, 2, 3, 5, 64, 4096])
    assert.deepEqual(await readAll(completeStream, size), expected);
});

const faults = {
  'no [DONE]': [completeStream.replace('data: [DONE]\n\n', ''), 'connectionLost'],
  'no finish reason': ['data: [DONE]\n\n', 'malformed'],
  'invalid JSON': ['data: {"choices"\n\n', 'malformed'],
  'a tool call': [encodeChunk({ delta: { tool_calls: [{}] } }), 'malformed'],
  'a line above the limit': [`data: ${'x'.repeat(MAX_LINE_CHARACTERS)}`, 'malformed'],
} as const;

Object.entries(faults).forEach(([name, [text, failure]]) => {
  test(`a stream with ${name} fails instead of looking complete`, async () => {
    await assert.rejects(readAll(text, 65_536), (error) => {
      assert.ok(error instanceof BackendServerFailure);
      assert.deepEqual([error.failure, error.sent], [failure, 'maybe']);
      return true;
    });
  });
});
