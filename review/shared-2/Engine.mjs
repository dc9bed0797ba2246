/**
 * A stand-in for a model replica, as PROTOCOL.md describes it. Each event of a stream names the request whose
 * memory it was made from, so that a stream which goes on from the memory of another request can be told.
 */
import { createServer } from 'node:http';
import { ports, replicaHost } from './Deployment.mjs';

const ROOM = 64;

export class Engine {
  /** Copies of the memory of runs, by the source's address and handle. */
  copies = new Map();

  /** Runs in progress, by the id of the client attempt. */
  runs = new Map();

  answered = 0;

  /** Streams that it has begun since it started. */
  begun = 0;

  /** Extra answers that it still sends, see `sendExtra`. */
  extras = 0;

  /** The last answer to an order on each connection, as it was sent. */
  lastAnswers = new WeakMap();

  nextHandle = 1;

  /** True while it leaves, which all its answers say. */
  isLeaving = false;

  constructor(deployment, number, options) {
    const { service, versions = ['v1'], copyMilliseconds = 60, eventMilliseconds = 100 } = options;
    Object.assign(this, { deployment, service, copyMilliseconds, eventMilliseconds });
    this.id = `i-${number}`;
    this.version = versions[number % versions.length];
    this.host = replicaHost(number);
    this.address = `${this.host}:${ports.replica}`;
  }

  async start() {
    this.isLeaving = false;
    this.begun = 0;
    this.copies.clear();
    this.sockets = new Set();
    this.server = createServer((request, response) => this.receive(request, response));
    this.server.keepAliveTimeout = 20_000;
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(ports.replica, this.host, resolve);
    });
    this.listed = {
      id: this.id,
      service: this.service,
      address: this.address,
      zone: 'dakar-a',
      version: this.version,
      slots: ROOM,
      state: 'ready',
      cold_remaining_ms: 0,
      stage: 'both',
      models: [{ name: 'm', version: 1, adapters: [] }],
    };
    this.deployment.list.push(this.listed);
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Resets all connections; nothing listens any more. */
  crash() {
    this.server.close();
    this.sockets.forEach((socket) => socket.resetAndDestroy());
  }

  /** The platform does not list it any more. */
  unlist() {
    const { list } = this.deployment;
    list.splice(list.indexOf(this.listed), 1);
  }

  receive(request, response) {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => this.answer(request, Buffer.concat(chunks).toString(), response));
    request.on('error', () => {});
  }

  answer(request, body, response) {
    this.answered += 1;
    if (request.method === 'GET') {
      const type = { 'content-type': 'application/json' };
      response.writeHead(200, { ...this.stateHeaders, ...type }).end('{}');
    } else if (request.url === '/v1/kv-move') {
      this.move(JSON.parse(body), request, response);
    } else {
      this.run(request, response);
    }
  }

  get stateHeaders() {
    return {
      'x-replica-id': this.id,
      'x-replica-load': `${this.runs.size},0,${ROOM}`,
      ...(this.isLeaving ? { 'server-leaving': '1' } : {}),
    };
  }

  /** A second answer arrives late, at the point where the next response is expected. */
  sendExtra({ socket }) {
    const earlier = this.lastAnswers.get(socket);
    if (this.extras === 0 || earlier === undefined) return;
    this.extras -= 1;
    this.deployment.record('extraAnswer', { replica: this.id, answer: earlier.body });
    socket.write(earlier.bytes);
  }

  /** Stops the run, copies its memory and answers once the copy is complete. */
  move({ id, to }, request, response) {
    this.deployment.record('moveOrdered', { replica: this.id, run: id, to });
    this.sendExtra(request);
    const run = this.runs.get(id);
    if (run === undefined) {
      response.writeHead(404, { 'content-length': '0' }).end();
      return;
    }
    run.stop();
    const handle = `h${this.nextHandle}`;
    this.nextHandle += 1;
    const source = `${this.address}/${handle}`;
    setTimeout(() => {
      const copy = { owner: id, made: run.made, isUsed: false };
      Engine.at(to)?.copies.set(source, copy);
      const text = JSON.stringify({ handle, made: run.made });
      const head = `HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: ${text.length}\r\n\r\n`;
      this.lastAnswers.set(request.socket, { bytes: head + text, body: text });
      this.deployment.record('moveAnswered', { replica: this.id, run: id, answer: text });
      const type = { 'content-type': 'application/json', 'content-length': String(text.length) };
      response.writeHead(200, type).end(text);
    }, this.copyMilliseconds);
  }

  reject(response, id, status) {
    const headers = { ...this.stateHeaders, 'x-attempt-id': id, 'x-not-executed': '1' };
    response.writeHead(status, { ...headers, 'content-length': '0' }).end();
  }

  /** A stream from the beginning, after an event, or from a copy of the memory of a run. */
  run({ headers }, response) {
    const id = headers['x-attempt-id'];
    const expected = headers['x-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      this.reject(response, id, 421);
      return;
    }
    const source = headers['kv-from'];
    const copy = source === undefined ? { owner: id, isUsed: false } : this.copies.get(source);
    const after = Number(headers['last-event-id'] ?? 0);
    const facts = { replica: this.id, request: id, after, ...(source && { source }) };
    if (copy === undefined || copy.isUsed) {
      this.deployment.record('rejected', facts);
      this.reject(response, id, 503);
      return;
    }
    copy.isUsed = true;
    this.begun += 1;
    this.deployment.record('runs', { ...facts, memoryOf: copy.owner });
    const events = Number(headers['x-token-usage'].split(',')[1]) / 5;
    response.writeHead(200, {
      ...this.stateHeaders,
      'content-type': 'text/event-stream',
      'x-attempt-id': id,
      'x-response-stamp': `${this.id}.${id}`,
      'x-weight-versions': '1',
    });
    this.stream(response, { id, owner: copy.owner, after, events });
  }

  stream(response, { id, owner, after, events }) {
    const run = { made: after, stop: () => {} };
    const timer = setInterval(() => {
      run.made += 1;
      response.write(`id: ${run.made}\ndata: ${owner}/${run.made}@${this.version}\n\n`);
      if (run.made < events) return;
      clearInterval(timer);
      this.runs.delete(id);
      response.end();
    }, this.eventMilliseconds);
    run.stop = () => {
      clearInterval(timer);
      this.runs.delete(id);
      response.socket?.end();
    };
    this.runs.set(id, run);
    response.on('close', () => {
      clearInterval(timer);
      if (this.runs.get(id) === run) this.runs.delete(id);
    });
  }

  static engines = new Map();

  /** The replica at an address; copies go from one to the other there. */
  static at(address) {
    return Engine.engines.get(address);
  }

  static async startAll(deployment, count, options) {
    const engines = Array.from(
      { length: count },
      (_, number) => new Engine(deployment, number, options),
    );
    for (const engine of engines) {
      await engine.start();
      Engine.engines.set(engine.address, engine);
    }
    return engines;
  }
}
