/**
 * Meets a plain service over HTTP. What is assumed of it, besides its own calls:
 * `GET /load` gives a load report as JSON, and `GET /health` answers 2xx.
 */
import type { LoadReport } from '@hornbeampond/schema';
import { BackendServerFailure } from '../BackendServerFailure.js';
import {
  PlainServiceAdapter,
  type HeaderFields,
  type PlainServiceAnswer,
  type PlainServiceRequest,
} from '../PlainServiceAdapter.js';
import { formatOrigin, HttpConnections, type HttpAnswer } from './HttpConnections.js';
import type { ProbeResponse } from '../ProbeResponse.js';
import { connectionHeaders } from './connectionHeaders.js';
import { probeHealth } from './probeHealth.js';
import { readJson } from './readAnswer.js';
import { loadReportSchema } from './wireSchemas.js';

/** Bound of one answer, if the owner sets none. */
const MOST_ANSWER_BYTES = 64 * 1024 * 1024;

/** Headers of a request that undici sets by itself. */
const ownRequestHeaders = new Set(['content-length', 'expect', 'host']);

function toHeaderList(value: string | readonly string[]): string | string[] {
  return typeof value === 'string' ? value : [...value];
}

/** Leaves out the headers of one connection, also those that `connection` names. */
function withoutConnectionHeaders(
  headers: Readonly<Record<string, string | readonly string[] | undefined>>,
): Record<string, string | string[]> {
  const named = [headers.connection ?? []].flat().flatMap((value) => value.split(','));
  const dropped = new Set(named.map((name) => name.trim().toLowerCase()));
  const kept: Record<string, string | string[]> = {};
  Object.entries(headers).forEach(([name, value]) => {
    const lower = name.toLowerCase();
    if (value === undefined || connectionHeaders.has(lower) || dropped.has(lower)) return;
    kept[lower] = toHeaderList(value);
  });
  return kept;
}

async function* limitBytes(
  body: AsyncIterable<Uint8Array>,
  mostBytes: number,
): AsyncGenerator<Uint8Array> {
  let size = 0;
  for await (const bytes of body) {
    size += bytes.byteLength;
    if (size > mostBytes) {
      throw new BackendServerFailure(`answer above ${mostBytes} bytes`, {
        failure: 'malformed',
        sent: 'maybe',
      });
    }
    yield bytes;
  }
}

export interface HttpPlainServiceOptions {
  readonly host: string;
  readonly port: number;
  /** Bound of one answer in bytes. */
  readonly maxAnswerBytes?: number;
}

export class HttpPlainServiceAdapter extends PlainServiceAdapter {
  private readonly connections: HttpConnections;

  private readonly mostAnswerBytes: number;

  constructor({
    host,
    port,
    maxAnswerBytes: mostAnswerBytes = MOST_ANSWER_BYTES,
  }: HttpPlainServiceOptions) {
    super();
    this.connections = new HttpConnections(formatOrigin(host, port));
    this.mostAnswerBytes = mostAnswerBytes;
  }

  override async send(request: PlainServiceRequest): Promise<PlainServiceAnswer> {
    const { method, path, body, requiresNewConnection: fresh, signal } = request;
    const passedOn = Object.entries(withoutConnectionHeaders(request.headers));
    const headers = Object.fromEntries(passedOn.filter(([name]) => !ownRequestHeaders.has(name)));
    const call = { method, path, headers, body, signal };
    const answer = await (fresh
      ? this.connections.sendOnNewConnection(call)
      : this.connections.send(call));
    return this.toServiceAnswer(answer);
  }

  override async readLoad(signal: AbortSignal): Promise<LoadReport> {
    const call = { method: 'GET', path: '/load', signal };
    return readJson(loadReportSchema, await this.connections.send(call));
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

  private toServiceAnswer(answer: HttpAnswer): PlainServiceAnswer {
    const headers: HeaderFields = withoutConnectionHeaders(answer.headers);
    const body = limitBytes(answer.body, this.mostAnswerBytes);
    return { status: answer.status, headers, body };
  }
}
