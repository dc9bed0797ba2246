/**
 * Stores and entries as the deploy file starts them, each a process with a loopback address of its own, in
 * front of a stand-in for the platform's API. A process that ends by itself is started again, as the
 * platform does.
 */
import { spawn } from 'node:child_process';
import { appendFileSync, mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, request as sendRequest } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

const REPOSITORY = fileURLToPath(new URL('../..', import.meta.url));

/** The `run` lines of deploy/system.toml. */
const COMMANDS = {
  entry: ['node', '--max-old-space-size=200', 'platform/startEntry.cjs'],
  store: ['node', '--max-old-space-size=200', 'target/store.mjs'],
};

const PORTS = { front: 8221, ready: 8224, platform: 8225, control: 8229, server: 8080 };
const FIRST_ADDRESS = { platform: 1, store: 10, entry: 40, server: 70 };
const OCTET = 250;
const RESTART_DELAY = 300;

/** An address of 127.0.0.0/8 that no other run uses at the same time. */
export function makeHost(number) {
  const { pid } = process;
  return `127.${1 + (pid % OCTET)}.${Math.floor(pid / OCTET) % OCTET}.${number}`;
}

export const serverHost = (number) => makeHost(FIRST_ADDRESS.server + number);
export const SERVER_PORT = PORTS.server;

/** Sends one HTTP request; resolves with status 0 if there is no complete answer in time. */
export async function call({ host, port, method = 'GET', path, headers = {}, body, timeout }) {
  return new Promise((resolve) => {
    const signal = AbortSignal.timeout(timeout);
    const options = { host, port, method, path, headers, agent: false, signal };
    const outgoing = sendRequest(options, (message) => {
      const chunks = [];
      message.on('data', (chunk) => chunks.push(chunk));
      message.on('error', () => resolve({ status: 0, body: '' }));
      message.on('end', () =>
        resolve({
          status: message.statusCode,
          headers: message.headers,
          body: Buffer.concat(chunks).toString('utf8'),
        }),
      );
    });
    outgoing.on('error', () => resolve({ status: 0, body: '' }));
    outgoing.end(body);
  });
}

function toToml(value) {
  if (Array.isArray(value)) return `[${value.map(toToml).join(', ')}]`;
  if (typeof value === 'object') {
    return `{ ${Object.entries(value)
      .map(([key, item]) => `${JSON.stringify(key)} = ${toToml(item)}`)
      .join(', ')} }`;
  }
  return JSON.stringify(value);
}

export class Deployment {
  /** All processes, by name. */
  processes = new Map();

  /** What the platform lists as its instances. */
  instances = [];

  /** Lines of the processes' logs are handed to this. */
  onLogLine = () => {};

  folder = mkdtempSync(join(tmpdir(), 'review-'));

  constructor({ stores, entries, recordFile, duties = [] }) {
    this.storeCount = stores;
    this.entryCount = entries;
    this.recordFile = recordFile;
    this.duties = duties;
    this.startedAt = Date.now();
    writeFileSync(recordFile, '');
  }

  record(text) {
    const seconds = ((Date.now() - this.startedAt) / 1000).toFixed(3);
    appendFileSync(this.recordFile, `${seconds.padStart(8)} s  ${text}\n`);
  }

  get storeNumbers() {
    return Array.from({ length: this.storeCount }, (_, number) => number);
  }

  async startPlatform() {
    this.platform = createServer((request, response) => {
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('end', () => {
        const isList = request.url.startsWith('/instances');
        const body = isList ? { instances: this.instances, next: null } : {};
        response.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(body));
      });
    });
    await new Promise((resolve, reject) => {
      this.platform.once('error', reject);
      this.platform.listen(PORTS.platform, makeHost(FIRST_ADDRESS.platform), resolve);
    });
  }

  startRole(role, number, isFirstStart = true) {
    const name = `${role}-${number}`;
    const file = join(this.folder, `${name}.toml`);
    writeFileSync(file, this.makeSettings(role, number, isFirstStart));
    const [program, ...words] = COMMANDS[role];
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(program, words, {
      cwd: REPOSITORY,
      env: { PATH, HOME, ...(LANG ? { LANG } : {}), HORNBEAMPOND_NODE_FILE: file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const state = { name, role, number, child, isExpectedToEnd: false };
    this.processes.set(name, state);
    this.record(`${name} is started`);
    this.readLines(child.stdout, name);
    this.readLines(child.stderr, name);
    state.ended = new Promise((resolve) => {
      child.on('exit', (code, signal) => {
        this.record(`${name} ends: code ${code}, signal ${signal}`);
        resolve();
        if (this.isClosed || state.isExpectedToEnd) return;
        this.ownEnds = (this.ownEnds ?? 0) + 1;
        setTimeout(() => {
          if (!this.isClosed) this.startRole(role, number, false);
        }, RESTART_DELAY);
      });
    });
    return state;
  }

  /** SIGKILL, and a start after `downFor`. */
  async kill(name, downFor = RESTART_DELAY) {
    const state = this.processes.get(name);
    state.isExpectedToEnd = true;
    this.record(`${name} is killed`);
    state.child.kill('SIGKILL');
    await state.ended;
    await wait(downFor);
    if (!this.isClosed) this.startRole(state.role, state.number, false);
  }

  readLines(stream, name) {
    let rest = '';
    stream.on('data', (chunk) => {
      const lines = (rest + chunk.toString('utf8')).split('\n');
      rest = lines.pop();
      lines.forEach((line) => {
        if (/heap limit|heap out of memory/.test(line)) this.record(`${name} writes: ${line}`);
        this.onLogLine(name, line);
      });
    });
  }

  makeSettings(role, number, isFirstStart) {
    const host = makeHost(FIRST_ADDRESS[role] + number);
    const name = `${role}-${number}`;
    const dataFolder = join(this.folder, name);
    mkdirSync(dataFolder, { recursive: true });
    const seeds = this.storeNumbers.slice(0, 3).map((store) => `${this.storeHost(store)}:8229`);
    const listen =
      role === 'entry'
        ? { front: `${host}:${PORTS.front}`, ready_addr: `${host}:${PORTS.ready}` }
        : { control: `${host}:${PORTS.control}` };
    const settings = {
      node_name: name,
      role,
      machine_class: role === 'entry' ? 'front' : 'core',
      ip: host,
      zone: 'wien-a',
      region: 'at-ost',
      port_range: [7600, 7615],
      seeds,
      bootstrap: isFirstStart,
      ...(role === 'store' ? { data_dir: dataFolder } : {}),
      zones: { 'wien-a': 'at-ost' },
      listen,
      fault_tolerance: { machines: 1, zones: 1, regions: 0 },
      bounds: { grace_s: 8, lease_ms: 3000, usage_window_s: 5, quota_window_s: 8 },
      cloud_api: {
        address: `${makeHost(FIRST_ADDRESS.platform)}:${PORTS.platform}`,
        duties: this.duties,
      },
    };
    return Object.entries(settings)
      .map(([key, value]) => `${key} = ${toToml(value)}\n`)
      .join('');
  }

  storeHost(number) {
    return makeHost(FIRST_ADDRESS.store + number);
  }

  entryHost(number) {
    return makeHost(FIRST_ADDRESS.entry + number);
  }

  async start() {
    await this.startPlatform();
    this.storeNumbers.forEach((number) => this.startRole('store', number));
    for (let number = 0; number < this.entryCount; number += 1) this.startRole('entry', number);
  }

  /** One order of the operator at one store. */
  async put(store, document, timeout = 1000) {
    const text = typeof document === 'string' ? document : JSON.stringify(document);
    return call({
      host: this.storeHost(store),
      port: PORTS.control,
      method: 'POST',
      path: '/v1/Config.Put',
      headers: { 'content-type': 'application/json' },
      body: text,
      timeout,
    });
  }

  /** Sends the order to one store after the other until it is answered clearly or time is up. */
  async putUntilClear(document, limit, timeout = 1000) {
    const text = JSON.stringify(document);
    const endsAt = Date.now() + limit;
    let pause = 50;
    for (let store = 0; Date.now() < endsAt; store += 1) {
      const answer = await this.put(store % this.storeCount, text, timeout);
      if (answer.status === 200 || (answer.status >= 400 && answer.status < 500)) return answer;
      await wait(pause);
      pause = Math.min(1000, pause * 2);
    }
    return { status: 0, body: '' };
  }

  async get(store, timeout = 1000) {
    const host = this.storeHost(store);
    return call({ host, port: PORTS.control, path: '/v1/Config.Get', timeout });
  }

  /** Waits until all entries say that they are ready. */
  async waitUntilReady(limit = 20_000) {
    const endsAt = Date.now() + limit;
    for (let number = 0; number < this.entryCount; number += 1) {
      for (;;) {
        const host = this.entryHost(number);
        const { status } = await call({
          host,
          port: PORTS.ready,
          path: '/readyz',
          timeout: 1000,
        });
        if (status === 200) break;
        if (Date.now() > endsAt) throw new Error(`entry-${number} isn't ready`);
        await wait(100);
      }
    }
  }

  async close() {
    this.isClosed = true;
    const states = [...this.processes.values()];
    states.forEach(({ child }) => child.kill('SIGKILL'));
    await Promise.all(states.map(({ ended }) => ended));
    await new Promise((resolve) => {
      if (this.platform === undefined) {
        resolve();
        return;
      }
      this.platform.close(resolve);
      this.platform.closeAllConnections();
    });
    rmSync(this.folder, { recursive: true, force: true });
  }
}

export const FRONT_PORT = PORTS.front;

/** Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
export async function runCase(deployment, play) {
  let code = 2;
  const stop = () => {
    void deployment.close().finally(() => process.exit(2));
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
  const limit = setTimeout(() => {
    deployment.record('the case takes too long');
    stop();
  }, 115_000);
  try {
    code = (await play()) ? 1 : 0;
  } catch (error) {
    deployment.record(`the case couldn't run: ${error.stack}`);
  }
  clearTimeout(limit);
  await deployment.close();
  const verdicts = ['the rule held', 'the rule was broken', "the case couldn't run"];
  deployment.record(verdicts[code]);
  process.stdout.write(`${verdicts[code]}\n`);
  process.exit(code);
}
