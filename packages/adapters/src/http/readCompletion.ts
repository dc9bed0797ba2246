/**
 * Reads the streamed answer of an engine.
 *
 * An answer is complete only if `data: [DONE]` follows a finish reason. Usage may arrive with the
 * last chunk or in a separate chunk after it, so the `end` chunk is emitted only at `[DONE]`.
 */
import type { z } from 'zod';
import { BackendServerFailure } from '../BackendServerFailure.js';
import type { CompletionChunk, CompletionUsage } from '../EngineAdapter.js';
import { EventDataSplitter } from './EventDataSplitter.js';
import type { HttpAnswer } from './HttpConnections.js';
import { parseJson } from './readAnswer.js';
import { completionChunkSchema } from './wireSchemas.js';

const DONE_MARKER = '[DONE]';

type WireChunk = z.infer<typeof completionChunkSchema>;

function readUsage({ usage }: WireChunk): CompletionUsage | undefined {
  if (usage === undefined || usage === null) return undefined;
  return { promptTokens: usage.prompt_tokens, completionTokens: usage.completion_tokens };
}

/** Converts the events of one stream to chunks; finish reason and usage go into the `end` chunk. */
class CompletionReader {
  private finishReason: string | undefined;

  private usage: CompletionUsage | undefined;

  readEventData(data: string): CompletionChunk | undefined {
    if (data === DONE_MARKER) return this.makeEndChunk();
    const chunk = parseJson(completionChunkSchema, data);
    const choice = chunk.choices[0];
    this.finishReason = choice?.finish_reason ?? this.finishReason;
    this.usage = readUsage(chunk) ?? this.usage;
    const text = choice?.delta?.content ?? '';
    return text === '' ? undefined : { type: 'token', text, tokens: chunk.tokens ?? 1 };
  }

  private makeEndChunk(): CompletionChunk {
    const { finishReason, usage } = this;
    if (finishReason === undefined) {
      throw new BackendServerFailure('the stream ended without a finish reason', {
        failure: 'malformed',
      });
    }
    return { type: 'end', finishReason, ...(usage === undefined ? {} : { usage }) };
  }
}

/** Reads the chunks of an answer; marks it as complete at `[DONE]`, so its connection is reused. */
export async function* readCompletion({
  body,
  markComplete,
}: Pick<HttpAnswer, 'body' | 'markComplete'>): AsyncGenerator<CompletionChunk> {
  const splitter = new EventDataSplitter();
  const reader = new CompletionReader();
  for await (const bytes of body) {
    for (const data of splitter.split(bytes)) {
      const chunk = reader.readEventData(data);
      if (chunk?.type === 'end') markComplete();
      if (chunk !== undefined) yield chunk;
      if (chunk?.type === 'end') return;
    }
  }
  throw new BackendServerFailure('the stream ended before [DONE]', {
    failure: 'connectionLost',
  });
}
