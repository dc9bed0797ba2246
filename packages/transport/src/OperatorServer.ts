/**
 * HTTP server on the operators' port of a process. It serves `/livez`, `/readyz`, `/metrics` and
 * `/status`, and further paths that the process handles itself. Errors are counted by kind and
 * answered as problem documents.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { HornbeampondError, type ListenAddress } from '@hornbeampond/schema';
import type { Metrics } from '@hornbeampond/runtime';
import { writeProblem } from './writeProblem.js';

export interface OperatorServerOptions {
  readonly metrics: Metrics;
  isReady(): boolean;
  /** Returns the body of `/status`, which is sent as JSON. */
  readStatus(): Promise<unknown>;
  /** Serves further paths; resolves with false if it does not serve the path. */
  handle?(request: IncomingMessage, response: ServerResponse, url: URL): Promise<boolean>;
}

export function writeJson(response: ServerResponse, status: number, value: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(`${JSON.stringify(value)}\n`);
}

export class OperatorServer {
  private readonly server: Server;

  constructor(private readonly options: OperatorServerOptions) {
    this.server = createServer((request, response) => {
      this.respond(request, response).catch((error: unknown) => {
        const kind = error instanceof HornbeampondError ? error.kind : 'internalError';
        options.metrics.count({ metric: 'refusals', label: kind });
        if (response.headersSent) response.destroy();
        else writeProblem(response, error);
      });
    });
  }

  async listen({ host, port }: ListenAddress): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    return (this.server.address() as AddressInfo).port;
  }

  async close(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
      this.server.closeAllConnections();
    });
  }

  private async respond(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://operators');
    switch (url.pathname) {
      case '/livez':
        response.end('live\n');
        return;
      case '/readyz':
        response.writeHead(this.options.isReady() ? 200 : 503);
        response.end(this.options.isReady() ? 'ready\n' : 'not ready\n');
        return;
      case '/metrics':
        response.writeHead(200, { 'content-type': this.options.metrics.registry.contentType });
        response.end(await this.options.metrics.toPrometheusText());
        return;
      case '/status':
        writeJson(response, 200, await this.options.readStatus());
        return;
      default:
        if (await this.options.handle?.(request, response, url)) return;
        throw new HornbeampondError('routeNotFound', `There is no ${url.pathname} on this port`);
    }
  }
}
