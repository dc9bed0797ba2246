/**
 * Reads a streamed answer of an engine.
 *
 * Only `data: [DONE]` after a finish reason makes an answer whole. Usage can come with the last
 * chunk or in one of its own after it, so the end is held until `[DONE]`.
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

/** Turns the events of one stream into chunks and remembers what its end will need. */
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
      throw new BackendServerFailure('the stream ended with no finish reason', {
        failure: 'malformed',
        sent: 'maybe',
      });
    }
    return { type: 'end', finishReason, ...(usage === undefined ? {} : { usage }) };
  }
}

/** Reads chunks to the end of the answer, which is marked whole so that its connection is kept. */
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
    sent: 'maybe',
  });
}
