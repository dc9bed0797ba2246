/**
 * A fake of the operators' port: serves the documents that a test sets, applies and records table
 * changes, and can drop responses.
 */
import { once } from 'node:events';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { text } from 'node:stream/consumers';
import { HornbeampondError, toProblemDocument } from '@hornbeampond/schema';

/** A table change as it was received. */
export interface ReceivedChange {
  readonly path: string;
  readonly ifMatch: string | undefined;
  readonly changeId: string | undefined;
  readonly rows: number;
}

export class FakeOperatorServer {
  readonly receivedChanges: ReceivedChange[] = [];

  /** Response bodies of requests other than `PUT`, by path. */
  readonly responsesByPath = new Map<string, unknown>();

  /** Method, path and body of each request about a roll-out. */
  readonly rolloutCalls: (readonly [string, string, string])[] = [];

  revision = 7;

  /** Number of accepted changes whose connections are closed without a response. */
  responsesToDrop = 0;

  private readonly server: Server;

  private readonly acceptedChangeIds = new Set<string>();

  private constructor() {
    this.server = createServer((request, response) => {
      this.handleRequest(request, response).catch((error: unknown) => {
        const problem = toProblemDocument(error);
        response.writeHead(problem.status, { 'content-type': 'application/problem+json' });
        response.end(JSON.stringify(problem));
      });
    });
  }

  static async start(): Promise<FakeOperatorServer> {
    const fake = new FakeOperatorServer();
    fake.server.listen(0, '127.0.0.1');
    await once(fake.server, 'listening');
    return fake;
  }

  get url(): string {
    return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  async close(): Promise<void> {
    this.server.close();
    this.server.closeAllConnections();
    await once(this.server, 'close');
  }

  private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (request.headers.authorization !== 'Bearer operator-key') {
      throw new HornbeampondError('unauthorized', 'The operator key is missing or not known');
    }
    const path = request.url ?? '';
    if (path.startsWith('/rollouts/')) {
      this.rolloutCalls.push([request.method ?? '', path, await text(request)]);
    } else if (request.method === 'PUT') {
      await this.handlePut(path, request, response);
      return;
    }
    const document = this.responsesByPath.get(path);
    if (document === undefined) throw new HornbeampondError('routeNotFound', `There is no ${path}`);
    response.end(JSON.stringify(document));
  }

  private async handlePut(
    path: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { rows } = JSON.parse(await text(request)) as { readonly rows: readonly unknown[] };
    const ifMatch = request.headers['if-match'];
    const changeId = request.headers['idempotency-key'] as string;
    this.receivedChanges.push({ path, ifMatch, changeId, rows: rows.length });
    if (!this.acceptedChangeIds.has(changeId)) {
      if (ifMatch !== `"${this.revision}"`) {
        const details = { currentRevision: this.revision };
        throw new HornbeampondError('revisionStale', 'Another change came first', details);
      }
      this.revision += 1;
      this.acceptedChangeIds.add(changeId);
    }
    if (this.responsesToDrop > 0) {
      this.responsesToDrop -= 1;
      request.socket.destroy();
      return;
    }
    response.end(JSON.stringify({ revision: this.revision }));
  }
}
