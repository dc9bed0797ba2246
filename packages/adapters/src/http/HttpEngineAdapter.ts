/**
 * Connects to a model engine over HTTP. Expected API:
 *
 * - `POST /v1/chat/completions` in the OpenAI format with `stream: true`, and with the headers
 *   `x-attempt-id` and `x-request-priority` (0 first). The answer is a stream of
 *   `chat.completion.chunk` events with one text choice, ended by `data: [DONE]`; `tokens` in a chunk
 *   gives its number of tokens if that is not 1. To resume, the body contains
 *   `resume: {generated_text, generated_tokens}`; the stream then holds what follows that text.
 * - Status 429 or 503 means busy: the request was not run.
 * - Each answer returns `x-hornbeampond-call-id`, or has a connection of its own.
 * - `POST /engine/cancel` `{attemptId}`; 404 if there is no such attempt.
 * - `GET /engine/cache?attempt=ID` returns the KV cache as bytes, with its number of tokens in
 *   `x-cache-tokens`; `PUT` on the same path imports it.
 * - `GET /engine/load`, `GET /engine/cache-events?after=SEQUENCE`, `POST /engine/orders`,
 *   `GET /health`.
 */
import type { LoadReport, Order, OrderResult } from '@hornbeampond/schema';
import { BackendServerFailure } from '../BackendServerFailure.js';
import {
  EngineAdapter,
  type CacheEventBatch,
  type CompletionStart,
  type CompletionStream,
  type ExportedCache,
} from '../EngineAdapter.js';
import {
  formatOrigin,
  HttpConnections,
  type HttpAnswer,
  type ConnectionPath,
} from './HttpConnections.js';
import type { ProbeResponse } from '../ProbeResponse.js';
import { probeHealth } from './probeHealth.js';
import { readBytes, readJson, discardSuccessfulAnswer, requireSuccess } from './readAnswer.js';
import { readCompletion } from './readCompletion.js';
import { cacheEventsSchema, loadReportSchema, orderResultSchema } from './wireSchemas.js';

const MAX_CACHE_BYTES = 512 * 1024 * 1024;

const jsonHeaders = { 'content-type': 'application/json' } as const;

function makeCompletionBody({ body, resume }: CompletionStart): string {
  // Overrides any `resume` in the body of the caller, which the engine would otherwise follow.
  const wireResume =
    resume === undefined
      ? undefined
      : { generated_text: resume.generatedText, generated_tokens: resume.generatedTokens };
  return JSON.stringify({ ...body, stream: true, resume: wireResume });
}

function makeCachePath(attemptId: string): string {
  return `/engine/cache?attempt=${encodeURIComponent(attemptId)}`;
}

export class HttpEngineAdapter extends EngineAdapter {
  private readonly connections: HttpConnections;

  /** @param path - Without it, connections are opened to the address itself. */
  constructor(address: { readonly host: string; readonly port: number }, path?: ConnectionPath) {
    super();
    this.connections = new HttpConnections(formatOrigin(address.host, address.port), path);
  }

  override async startCompletion(start: CompletionStart): Promise<CompletionStream> {
    const answer = await this.connections.send({
      method: 'POST',
      path: '/v1/chat/completions',
      headers: {
        ...jsonHeaders,
        'x-attempt-id': start.attemptId,
        'x-request-priority': String(start.priority),
      },
      body: makeCompletionBody(start),
      signal: start.signal,
    });
    await requireSuccess(answer);
    return readCompletion(answer);
  }

  override async cancel(attemptId: string, signal: AbortSignal): Promise<void> {
    try {
      await discardSuccessfulAnswer(await this.post('/engine/cancel', { attemptId }, signal));
    } catch (error) {
      if (error instanceof BackendServerFailure && error.status === 404) return;
      throw error;
    }
  }

  override async exportCache(attemptId: string, signal: AbortSignal): Promise<ExportedCache> {
    const answer = await this.connections.send({
      method: 'GET',
      path: makeCachePath(attemptId),
      signal,
    });
    await requireSuccess(answer);
    const tokens = Number(answer.headers['x-cache-tokens']);
    if (!Number.isSafeInteger(tokens)) {
      throw new BackendServerFailure('x-cache-tokens is missing or not an integer', {
        failure: 'malformed',
      });
    }
    return { attemptId, tokens, bytes: await readBytes(answer, MAX_CACHE_BYTES) };
  }

  override async importCache(cache: ExportedCache, signal: AbortSignal): Promise<void> {
    const answer = await this.connections.send({
      method: 'PUT',
      path: makeCachePath(cache.attemptId),
      headers: {
        'content-type': 'application/octet-stream',
        'x-cache-tokens': String(cache.tokens),
      },
      body: cache.bytes,
      signal,
    });
    await discardSuccessfulAnswer(answer);
  }

  override async readLoad(signal: AbortSignal): Promise<LoadReport> {
    const call = { method: 'GET', path: '/engine/load', signal };
    return readJson(loadReportSchema, await this.connections.send(call));
  }

  override async readCacheEvents(
    afterSequence: number,
    signal: AbortSignal,
  ): Promise<CacheEventBatch> {
    const path = `/engine/cache-events?after=${afterSequence}`;
    const call = { method: 'GET', path, signal };
    return readJson(cacheEventsSchema, await this.connections.send(call));
  }

  override async sendOrder(order: Order, signal: AbortSignal): Promise<OrderResult> {
    const answer = await this.post('/engine/orders', order, signal);
    return (await readJson(orderResultSchema, answer)).result;
  }

  override async probe(signal: AbortSignal): Promise<ProbeResponse> {
    return probeHealth(this.connections, signal);
  }

  override renewConnections(): void {
    this.connections.renew();
  }

  override async close(): Promise<void> {
    await this.connections.close();
  }

  private async post(path: string, value: object, signal: AbortSignal): Promise<HttpAnswer> {
    const body = JSON.stringify(value);
    return this.connections.send({ method: 'POST', path, headers: jsonHeaders, body, signal });
  }
}
