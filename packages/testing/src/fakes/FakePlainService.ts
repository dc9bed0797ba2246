/**
 * A fake plain service that serves the HTTP interface of `HttpPlainServiceAdapter`. It records each
 * run with its `Idempotency-Key`, so that tests detect duplicate runs, and echoes the request
 * unless another responder is set.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { FakeBackendServer, type FakeBackendServerOptions } from './FakeBackendServer.js';
import { answerJson, readRequestBody } from './FakeServer.js';

/** One call that the service has run. */
export interface FakeServiceRun {
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly idempotencyKey: string | undefined;
  readonly body: string;
}

export interface FakeServiceAnswer {
  readonly status: number;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body: string;
}

/**
 * What happens after a call has run: `answer` sends the answer, `silence` sends nothing, `lost`
 * closes the connection before the answer, `cut` in the middle of it.
 */
export const fakeServiceOutcomes = ['answer', 'silence', 'lost', 'cut'] as const;
export type FakeServiceOutcome = (typeof fakeServiceOutcomes)[number];

export type FakeServiceResponder = (run: FakeServiceRun, count: number) => FakeServiceAnswer;

function echo(instance: string): FakeServiceResponder {
  return (run, count) => ({
    status: 200,
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({ instance, run: count, ...run }),
  });
}

export class FakePlainService extends FakeBackendServer {
  /** All runs since the service was constructed; a restart does not clear them. */
  readonly runs: FakeServiceRun[] = [];

  private running = 0;

  private respond: FakeServiceResponder;

  private outcome: FakeServiceOutcome = 'answer';

  constructor(options: FakeBackendServerOptions = {}) {
    super(options, 'service-1');
    this.respond = echo(this.instance);
  }

  static async start(options: FakeBackendServerOptions = {}): Promise<FakePlainService> {
    const service = new FakePlainService(options);
    await service.restart();
    return service;
  }

  /** Sets the function that makes the answers. */
  setResponder(respond: FakeServiceResponder): void {
    this.respond = respond;
  }

  setOutcome(outcome: FakeServiceOutcome): void {
    this.outcome = outcome;
  }

  /** Number of runs with this idempotency key. */
  countRuns(idempotencyKey: string): number {
    return this.runs.filter((run) => run.idempotencyKey === idempotencyKey).length;
  }

  protected override resetState(): void {
    super.resetState();
    this.running = 0;
  }

  protected override async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const name = `${request.method} ${request.url}`;
    if (name === 'GET /health') {
      answerJson(response, 200, {});
      return;
    }
    if (name === 'GET /load') {
      answerJson(response, 200, this.reportLoad());
      return;
    }
    await this.handleCall(request, response);
  }

  private async handleCall(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readRequestBody(request);
    this.changeRunning(1);
    response.once('close', () => this.changeRunning(-1));
    if (!(await this.admitWork(request, response, body))) return;
    const run = {
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      idempotencyKey: request.headers['idempotency-key']?.toString(),
      body: body.toString(),
    };
    this.runs.push(run);
    this.notifyWaiters();
    this.sendAnswer(response, this.respond(run, this.runs.length));
  }

  private changeRunning(change: number): void {
    this.running = Math.max(0, this.running + change);
    this.recordLoad(this.running, 0);
  }

  private sendAnswer(
    response: ServerResponse,
    { status, headers = {}, body }: FakeServiceAnswer,
  ): void {
    if (this.outcome === 'silence') return;
    if (this.outcome === 'lost') {
      response.socket?.destroy();
      return;
    }
    const bytes = Buffer.from(body);
    response.writeHead(status, { ...headers, 'content-length': bytes.length });
    if (this.outcome === 'cut') {
      response.write(bytes.subarray(0, Math.floor(bytes.length / 2)));
      response.socket?.destroySoon();
      return;
    }
    response.end(bytes);
  }
}
