/** Reads whole answers within bounds and turns statuses into failures. */
import type { Milliseconds } from '@hornbeampond/schema';
import type { z } from 'zod';
import { BackendServerFailure } from '../BackendServerFailure.js';
import type { HttpAnswer } from './HttpConnections.js';

/** Bound of an answer that is read whole as JSON. */
export const MAX_JSON_BYTES = 4 * 1024 * 1024;

/** What is kept of an error answer's text. */
const MAX_ERROR_TEXT_CHARACTERS = 300;

/** Reads an answer whole; one above `mostBytes` is `malformed` and its connection dropped. */
export async function readBytes(answer: HttpAnswer, maxBytes: number): Promise<Buffer> {
  const chunks: Uint8Array[] = [];
  let size = 0;
  for await (const chunk of answer.body) {
    size += chunk.byteLength;
    if (size > maxBytes) {
      throw new BackendServerFailure(`answer above ${maxBytes} bytes`, {
        failure: 'malformed',
        sent: 'maybe',
      });
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

function readRetryAfter(answer: HttpAnswer): Milliseconds | undefined {
  const seconds = Number(answer.headers['retry-after']);
  return Number.isFinite(seconds) && seconds >= 0 ? seconds * 1000 : undefined;
}

function classifyStatus(status: number): 'busy' | 'serverError' | 'clientError' | 'malformed' {
  if (status === 429 || status === 503) return 'busy';
  if (status >= 500) return 'serverError';
  return status >= 400 ? 'clientError' : 'malformed';
}

/** Passes answers with a 2xx status; any other is read and thrown. */
export async function requireSuccess(answer: HttpAnswer): Promise<void> {
  const { status } = answer;
  if (status >= 200 && status < 300) return;
  const text = (await readBytes(answer, MAX_JSON_BYTES)).toString('utf8');
  const message = `status ${status}: ${text.slice(0, MAX_ERROR_TEXT_CHARACTERS)}`;
  throw new BackendServerFailure(message, {
    failure: classifyStatus(status),
    sent: 'maybe',
    status,
    retryAfter: readRetryAfter(answer),
  });
}

/** Parses JSON text by a schema; anything else is `malformed`. */
export function parseJson<Schema extends z.ZodType>(schema: Schema, text: string): z.infer<Schema> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (cause) {
    throw new BackendServerFailure('answer is not JSON', {
      failure: 'malformed',
      sent: 'maybe',
      cause,
    });
  }
  const parsed = schema.safeParse(value);
  if (parsed.success) return parsed.data;
  const reason = parsed.error.issues[0]?.message ?? 'unknown';
  throw new BackendServerFailure(`answer of another shape: ${reason}`, {
    failure: 'malformed',
    sent: 'maybe',
    cause: parsed.error,
  });
}

/** Reads a 2xx answer as JSON of the given shape. */
export async function readJson<Schema extends z.ZodType>(
  schema: Schema,
  answer: HttpAnswer,
): Promise<z.infer<Schema>> {
  await requireSuccess(answer);
  return parseJson(schema, (await readBytes(answer, MAX_JSON_BYTES)).toString('utf8'));
}

/** Reads a 2xx answer whose body means nothing, so that its connection can be used again. */
export async function discardSuccessfulAnswer(answer: HttpAnswer): Promise<void> {
  await requireSuccess(answer);
  await readBytes(answer, MAX_JSON_BYTES);
}
