/** A stand-in for a plain replica, as PROTOCOL.md describes it: it works for some time and answers. */
import { createServer } from 'node:http';
import { ports, replicaHost } from './Deployment.mjs';

export class PlainReplica {
  /** Ids of the client attempts that it has begun to run. */
  begun = new Set();

  constructor(deployment, number, { service, workMilliseconds }) {
    Object.assign(this, { deployment, service, workMilliseconds });
    this.id = `i-${number}`;
    this.host = replicaHost(number);
    this.server = createServer((request, response) => {
      request.resume();
      request.on('end', () => this.answer(request, response));
    });
    this.server.keepAliveTimeout = 20_000;
  }

  async start() {
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(ports.replica, this.host, resolve);
    });
    this.deployment.list.push({
      id: this.id,
      service: this.service,
      address: `${this.host}:${ports.replica}`,
      zone: 'dakar-a',
      version: 'v1',
      slots: 64,
      state: 'ready',
      cold_remaining_ms: 0,
    });
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }

  answer({ headers }, response) {
    const id = headers['x-attempt-id'];
    const own = { 'x-replica-id': this.id, 'content-length': '2' };
    if (id === undefined) {
      response.writeHead(200, own).end('ok');
      return;
    }
    const echo = { ...own, 'x-attempt-id': id };
    if ((headers['x-expect-instance'] ?? this.id) !== this.id) {
      response.writeHead(421, { ...echo, 'x-not-executed': '1' }).end('no');
      return;
    }
    this.begun.add(id);
    this.deployment.record('runs', { replica: this.id, request: id });
    setTimeout(
      () => response.writeHead(200, { ...echo, 'x-response-stamp': `${this.id}.${id}` }).end('ok'),
      this.workMilliseconds,
    );
  }
}
