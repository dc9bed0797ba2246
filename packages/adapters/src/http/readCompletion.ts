/**
 * Reads a streamed answer of an engine.
 *
 * Only `data: [DONE]` after a finish reason makes an answer whole. Usage can come with the last
 * chunk or in one of its own after it, so the end is held until `[DONE]`.
 */
import type { z } from 'zod';
import { BackendServerFailure } from '../BackendServerFailure.js';
import type { CompletionChunk, CompletionUsage } from '../EngineAdapter.js';
import { parseJson } from './readAnswer.js';
import { readEventData } from './readEventData.js';
import { completionChunkSchema } from './wireSchemas.js';

const DONE = '[DONE]';

type WireChunk = z.infer<typeof completionChunkSchema>;

function readUsage(chunk: WireChunk): CompletionUsage | undefined {
  if (chunk.usage === undefined || chunk.usage === null) return undefined;
  return {
    promptTokens: chunk.usage.prompt_tokens,
    completionTokens: chunk.usage.completion_tokens,
  };
}

function makeEnd(finishReason: string | undefined, usage: CompletionUsage | undefined) {
  if (finishReason === undefined) {
    throw new BackendServerFailure('the stream ended with no finish reason', {
      failure: 'malformed',
      sent: 'maybe',
    });
  }
  return { type: 'end', finishReason, ...(usage === undefined ? {} : { usage }) } as const;
}

export async function* readCompletion(
  bytes: AsyncIterable<Uint8Array>,
): AsyncGenerator<CompletionChunk> {
  let finishReason: string | undefined;
  let usage: CompletionUsage | undefined;
  for await (const data of readEventData(bytes)) {
    if (data === DONE) {
      yield makeEnd(finishReason, usage);
      return;
    }
    const chunk = parseJson(completionChunkSchema, data);
    const choice = chunk.choices[0];
    const text = choice?.delta?.content ?? '';
    if (text !== '') yield { type: 'token', text, tokens: chunk.tokens ?? 1 };
    finishReason = choice?.finish_reason ?? finishReason;
    usage = readUsage(chunk) ?? usage;
  }
  throw new BackendServerFailure('the stream ended before [DONE]', {
    failure: 'connectionLost',
    sent: 'maybe',
  });
}
