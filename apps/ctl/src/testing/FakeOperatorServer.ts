/**
 * A stand-in for the operators' port of an entry: it serves the two tables and what else a test
 * sets, notes every change that it is sent, and can lose answers.
 */
import { once } from 'node:events';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { text } from 'node:stream/consumers';
import { HornbeampondError, toProblemDocument } from '@hornbeampond/schema';

/** A change as it came in. */
export interface ReceivedChange {
  readonly path: string;
  readonly ifMatch: string | undefined;
  readonly changeId: string | undefined;
  readonly rows: number;
}

export class FakeOperatorServer {
  readonly receivedChanges: ReceivedChange[] = [];

  /** Answers to `GET`, by path. */
  readonly responsesByPath = new Map<string, unknown>();

  revision = 7;

  /** So many changes are carried out, and their connections closed without an answer. */
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
    const server = new FakeOperatorServer();
    server.server.listen(0, '127.0.0.1');
    await once(server.server, 'listening');
    return server;
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
    if (request.method === 'PUT') {
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
