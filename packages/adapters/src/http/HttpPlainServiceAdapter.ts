/**
 * Connects to a plain service over HTTP. Calls and answers are forwarded without hop-by-hop
 * headers, and answers are limited in size. Besides its own calls, the service is expected to
 * return a load report as JSON for `GET /load` and a 2xx status for `GET /health`.
 */
import type { LoadReport } from '@hornbeampond/schema';
import { BackendServerFailure } from '../BackendServerFailure.js';
import {
  PlainServiceAdapter,
  type HeaderFields,
  type PlainServiceAnswer,
  type PlainServiceRequest,
} from '../PlainServiceAdapter.js';
import {
  formatOrigin,
  HttpConnections,
  type HttpAnswer,
  type ConnectionPath,
} from './HttpConnections.js';
import type { ProbeResponse } from '../ProbeResponse.js';
import { connectionHeaders } from './connectionHeaders.js';
import { probeHealth } from './probeHealth.js';
import { readJson } from './readAnswer.js';
import { loadReportSchema } from './wireSchemas.js';

const DEFAULT_MAX_ANSWER_BYTES = 64 * 1024 * 1024;

/** Request headers that undici sets or does not accept. */
const headersSetByClient = new Set(['content-length', 'expect', 'host']);

function toHeaderList(value: string | readonly string[]): string | string[] {
  return typeof value === 'string' ? value : [...value];
}

/** Removes hop-by-hop headers, including those named by the `connection` header. */
function withoutConnectionHeaders(
  headers: Readonly<Record<string, string | readonly string[] | undefined>>,
): Record<string, string | string[]> {
  const connectionOptions = [headers.connection ?? []].flat().flatMap((value) => value.split(','));
  const dropped = new Set(connectionOptions.map((name) => name.trim().toLowerCase()));
  const kept: Record<string, string | string[]> = {};
  Object.entries(headers).forEach(([name, value]) => {
    const lowerCaseName = name.toLowerCase();
    if (value === undefined || connectionHeaders.has(lowerCaseName) || dropped.has(lowerCaseName))
      return;
    kept[lowerCaseName] = toHeaderList(value);
  });
  return kept;
}

async function* limitBytes(
  body: AsyncIterable<Uint8Array>,
  maxBytes: number,
): AsyncGenerator<Uint8Array> {
  let size = 0;
  for await (const bytes of body) {
    size += bytes.byteLength;
    if (size > maxBytes) {
      throw new BackendServerFailure(`answer exceeds ${maxBytes} bytes`, {
        failure: 'malformed',
      });
    }
    yield bytes;
  }
}

export interface HttpPlainServiceOptions {
  readonly host: string;
  readonly port: number;
  readonly maxAnswerBytes?: number;
  /** Without it, connections are opened to the address itself. */
  readonly path?: ConnectionPath;
}

export class HttpPlainServiceAdapter extends PlainServiceAdapter {
  private readonly connections: HttpConnections;

  private readonly maxAnswerBytes: number;

  constructor({ host, port, maxAnswerBytes, path }: HttpPlainServiceOptions) {
    super();
    this.connections = new HttpConnections(formatOrigin(host, port), path);
    this.maxAnswerBytes = maxAnswerBytes ?? DEFAULT_MAX_ANSWER_BYTES;
  }

  override async send(request: PlainServiceRequest): Promise<PlainServiceAnswer> {
    const { method, path, body, requiresNewConnection, signal } = request;
    const forwardedHeaders = Object.entries(withoutConnectionHeaders(request.headers));
    const headers = Object.fromEntries(
      forwardedHeaders.filter(([name]) => !headersSetByClient.has(name)),
    );
    const call = { method, path, headers, body, signal };
    const answer = await (requiresNewConnection
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
    const body = limitBytes(answer.body, this.maxAnswerBytes);
    return { status: answer.status, headers, body };
  }
}
