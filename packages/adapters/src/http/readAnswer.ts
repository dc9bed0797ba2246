/** Reads complete answers up to a size limit, and turns error statuses into failures. */
import type { Milliseconds } from '@hornbeampond/schema';
import type { z } from 'zod';
import { BackendServerFailure } from '../BackendServerFailure.js';
import { readChunks } from '../readChunks.js';
import type { HttpAnswer } from './HttpConnections.js';

/** Size limit of a JSON, error or discarded answer. */
export const MAX_JSON_BYTES = 4 * 1024 * 1024;

/** Length of the excerpt of an error answer in the message of the failure. */
const MAX_ERROR_TEXT_CHARACTERS = 300;

/** Reads a complete answer; above `maxBytes` it is `malformed` and its connection is dropped. */
export async function readBytes(answer: HttpAnswer, maxBytes: number): Promise<Buffer> {
  const message = `answer exceeds ${maxBytes} bytes`;
  const makeTooLongError = () => new BackendServerFailure(message, { failure: 'malformed' });
  return readChunks(answer.body, maxBytes, makeTooLongError);
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

/** Returns for a 2xx status; for any other, reads the answer and throws a failure. */
export async function requireSuccess(answer: HttpAnswer): Promise<void> {
  const { status } = answer;
  if (status >= 200 && status < 300) return;
  const text = (await readBytes(answer, MAX_JSON_BYTES)).toString('utf8');
  const message = `status ${status}: ${text.slice(0, MAX_ERROR_TEXT_CHARACTERS)}`;
  throw new BackendServerFailure(message, {
    failure: classifyStatus(status),
    status,
    retryAfter: readRetryAfter(answer),
  });
}

/** Parses JSON text by a schema; a mismatch is a `malformed` failure. */
export function parseJson<Schema extends z.ZodType>(schema: Schema, text: string): z.infer<Schema> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (cause) {
    throw new BackendServerFailure('answer is not JSON', {
      failure: 'malformed',
      cause,
    });
  }
  const parsed = schema.safeParse(value);
  if (parsed.success) return parsed.data;
  const reason = parsed.error.issues[0]?.message ?? 'unknown';
  throw new BackendServerFailure(`answer does not match its schema: ${reason}`, {
    failure: 'malformed',
    cause: parsed.error,
  });
}

/** Reads a 2xx answer as JSON that matches the schema. */
export async function readJson<Schema extends z.ZodType>(
  schema: Schema,
  answer: HttpAnswer,
): Promise<z.infer<Schema>> {
  await requireSuccess(answer);
  return parseJson(schema, (await readBytes(answer, MAX_JSON_BYTES)).toString('utf8'));
}

/** Requires a 2xx status and discards the body, so that the connection can be used again. */
export async function discardSuccessfulAnswer(answer: HttpAnswer): Promise<void> {
  await requireSuccess(answer);
  await readBytes(answer, MAX_JSON_BYTES);
}
