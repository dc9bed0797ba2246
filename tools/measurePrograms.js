/**
 * Measures the processor time of the platform programs on loopback: of a start, of a second at rest and
 * of a request. Two or more builds run side by side in one cluster, so that their ratios belong to the
 * same seconds of the same machine.
 *
 *   node tools/measurePrograms.js --build A=FOLDER --build B=FOLDER [--entries 60] [--stores 8]
 *     [--servers 90] [--starts 10] [--seconds 10] [--rate 100] [--events 40] [--prompts 5]
 *     [--profile FOLDER]
 *
 * A FOLDER holds `platform/startEntry.cjs` and `target/`, which `tools/bundle.js` writes; flags of Node may
 * follow it, each after a comma. The builds take turns among the entries and stores. `--rate` is in calls,
 * and again in streams, per second. `--prompts` is the number of prompts that streams share, 0 for none.
 * With `--profile`, one entry and one store of the first build write a processor profile there.
 */
import { spawn } from 'node:child_process';
import { mkdirSync, mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { Agent, createServer, request } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import { parseArgs } from 'node:util';

const { values: options } = parseArgs({
  options: {
    build: { type: 'string', multiple: true, default: [] },
    entries: { type: 'string', default: '60' },
    stores: { type: 'string', default: '8' },
    servers: { type: 'string', default: '90' },
    starts: { type: 'string', default: '0' },
    seconds: { type: 'string', default: '10' },
    rate: { type: 'string', default: '100' },
    events: { type: 'string', default: '40' },
    prompts: { type: 'string', default: '5' },
    profile: { type: 'string' },
  },
});
const builds = options.build.map((text) => {
  const at = text.indexOf('=');
  const [folder, ...flags] = text.slice(at + 1).split(',');
  return { name: text.slice(0, at), folder, flags };
});
const entryCount = Number(options.entries);
const storeCount = Number(options.stores);
const serverCount = Number(options.servers);
const seconds = Number(options.seconds);
const prompts = Number(options.prompts);

const ZONES = ['z1', 'z2', 'z3', 'z4'];
const PEER_PORT = 7000;
const OPERATOR_PORT = 7010;
const CALLER_PORT = 7020;
const READY_PORT = 7021;
const SERVER_PORT = 7030;
const PLATFORM_ADDRESS = { host: '127.0.0.1', port: 7040 };
const NODE_FLAGS = ['--max-old-space-size=200'];
const KEY = 'key-of-a-workspace';
const EVENT_INTERVAL_MILLISECONDS = 10;

const zoneOf = (position) => ZONES[position % ZONES.length];
const storeHost = (position) => `127.0.1.${position + 1}`;
const entryHost = (position) => `127.0.2.${position + 1}`;
const serverHost = (position) => `127.0.3.${position + 1}`;

const folder = mkdtempSync(join(tmpdir(), 'programs-'));
const children = [];
process.on('exit', () => {
  children.forEach(({ child }) => child.kill('SIGKILL'));
  rmSync(folder, { recursive: true, force: true });
});
process.once('SIGINT', () => process.exit(1));
process.once('SIGTERM', () => process.exit(1));

/** Processor milliseconds of all threads of a process. */
function readProcessorTime(pid) {
  const tasks = `/proc/${pid}/task`;
  return readdirSync(tasks).reduce((sum, task) => {
    const [nanoseconds] = readFileSync(`${tasks}/${task}/schedstat`, 'utf8').split(' ');
    return sum + Number(nanoseconds) / 1e6;
  }, 0);
}

function writeBootFile(role, position, host) {
  const file = join(folder, `${role}-${position}.toml`);
  const seeds = Array.from(
    { length: storeCount },
    (_, at) => `"${storeHost(at)}:${OPERATOR_PORT}"`,
  );
  writeFileSync(
    file,
    `
node_name = "${role}-${position}"
role = "${role}"
ip = "${host}"
zone = "${zoneOf(position)}"
zones = { ${ZONES.map((zone) => `${zone} = "${zone}"`).join(', ')} }
port_range = [${PEER_PORT}, ${PEER_PORT + 9}]
seeds = [${seeds.join(', ')}]
bootstrap = true
data_dir = "${join(folder, `${role}-${position}`)}"
fault_tolerance = { machines = 1 }
bounds = { quota_window_s = 8, usage_window_s = 1, quota_over = 0.1, quota_slack = 140000 }
[listen]
front = "${host}:${CALLER_PORT}"
ready_addr = "${host}:${READY_PORT}"
control = "${host}:${OPERATOR_PORT}"
[cloud_api]
address = "${PLATFORM_ADDRESS.host}:${PLATFORM_ADDRESS.port}"
`,
  );
  return file;
}

function start(role, position, build, flags = []) {
  const host = role === 'entry' ? entryHost(position) : storeHost(position);
  const program = role === 'entry' ? 'platform/startEntry.cjs' : readStoreProgram(build);
  const child = spawn(process.execPath, [...NODE_FLAGS, ...build.flags, ...flags, program], {
    cwd: build.folder,
    stdio: ['ignore', 'ignore', 'inherit'],
    env: { ...process.env, HORNBEAMPOND_NODE_FILE: writeBootFile(role, position, host) },
  });
  const started = { role, position, host, build, child };
  children.push(started);
  return started;
}

/** The store's program, which later builds start with a code cache. */
function readStoreProgram({ folder: root }) {
  return readdirSync(join(root, 'platform')).includes('startStore.cjs')
    ? 'platform/startStore.cjs'
    : 'target/store.mjs';
}

const agent = new Agent({ keepAlive: true });

async function send({ host, port, path, method = 'GET', headers = {}, body = '' }) {
  return new Promise((resolve, reject) => {
    const length = body === '' ? {} : { 'content-length': Buffer.byteLength(body) };
    const call = request(
      { host, port, path, method, headers: { ...headers, ...length }, agent },
      (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('end', () =>
          resolve({ status: response.statusCode, text: Buffer.concat(chunks).toString() }),
        );
        response.on('error', reject);
      },
    );
    call.on('error', reject);
    call.end(body);
  });
}

async function waitUntilReady({ host }) {
  for (let tries = 0; tries < 1200; tries += 1) {
    const answer = await send({ host, port: READY_PORT, path: '/readyz' }).catch(() => undefined);
    if (answer?.status === 200) return;
    await wait(25);
  }
  throw new Error(`${host} is not ready`);
}

function startPlatform() {
  const instances = Array.from({ length: serverCount }, (_, position) => ({
    id: `server-${position}`,
    service: position % 15 === 0 ? 'calls' : 'streams',
    address: `${serverHost(position)}:${SERVER_PORT}`,
    zone: zoneOf(position),
    slots: 12,
    state: 'ready',
  }));
  createServer((message, response) => {
    message.resume();
    const body = message.url.startsWith('/instances') ? { instances } : {};
    response.end(JSON.stringify(body));
  }).listen(PLATFORM_ADDRESS.port, PLATFORM_ADDRESS.host);
}

/** Connections that entries have opened to backend servers, except for probes. */
const counted = { connections: 0 };

function startServer(position) {
  const running = { count: 0 };
  const server = createServer({ keepAliveTimeout: 5000 }, (message, response) => {
    message.resume();
    const { socket } = message;
    if (message.headers['x-attempt-id'] !== undefined && !socket.isCounted) {
      socket.isCounted = true;
      counted.connections += 1;
    }
    const head = {
      'x-replica-load': `${running.count},0,12`,
      'x-replica-id': `server-${position}`,
      'x-attempt-id': message.headers['x-attempt-id'] ?? '',
      'x-response-stamp': 'stamp',
    };
    if (!message.url.startsWith('/streams')) {
      response.writeHead(200, { ...head, 'content-type': 'application/json' });
      response.end('{"answer":"of a call"}');
      return;
    }
    response.writeHead(200, { ...head, 'content-type': 'text/event-stream' });
    running.count += 1;
    let sent = 0;
    const timer = setInterval(() => {
      sent += 1;
      response.write(`id: ${sent}\ndata: {"choices":[{"delta":{"content":"token"}}]}\n\n`);
      if (sent < Number(options.events)) return;
      clearInterval(timer);
      running.count -= 1;
      response.end();
    }, EVENT_INTERVAL_MILLISECONDS);
    response.on('close', () => clearInterval(timer));
  });
  server.listen(SERVER_PORT, serverHost(position));
}

const configuration = {
  version: 1,
  routes: ['calls', 'streams'].map((name) => ({
    name,
    host: 'api.example',
    path_prefix: `/${name}/`,
    type: name === 'calls' ? 'safe' : 'stream',
    resumable: name === 'streams',
    timeout_ms: 10_000,
    target_latency_ms: 1000,
    service: name,
    max_attempts: 2,
  })),
  services: [
    { name: 'calls', health_path: '/health', max_connections: 460 },
    { name: 'streams', engine: { slots: 12, models: [{ name: 'model' }] } },
  ],
  tenants: Array.from({ length: 16 }, (_, position) => ({
    name: `workspace-${position}`,
    api_keys: [`${KEY}-${position}`],
    unit: 'tokens',
    rate_per_s: 10_000_000,
    burst: 10_000_000,
  })),
};

async function putConfiguration() {
  for (let tries = 0; tries < 200; tries += 1) {
    const answer = await send({
      host: storeHost(0),
      port: OPERATOR_PORT,
      path: '/v1/Config.Put',
      method: 'POST',
      body: JSON.stringify(configuration),
    }).catch(() => undefined);
    if (answer?.status === 200) return;
    if (answer?.status === 400) throw new Error(answer.text);
    await wait(100);
  }
  throw new Error('no store takes the configuration');
}

const answers = { whole: 0, failed: 0 };

async function ask({ host }, kind, number) {
  const isStream = kind === 'streams';
  const headers = {
    host: 'api.example',
    authorization: `Bearer ${KEY}-${number % 16}`,
    'content-type': 'application/json',
    'x-attempt-id': `attempt-${kind}-${number}`,
    'x-token-usage': isStream ? '600,40' : '0,0',
    'x-deadline-ms': '8000',
    ...(isStream ? { 'x-model': 'model' } : {}),
    ...(isStream && prompts > 0 ? { 'x-prompt-prefix': `p${number % prompts}:200,q:400` } : {}),
  };
  const body = JSON.stringify({ prompt: 'x'.repeat(isStream ? 2000 : 200) });
  const call = { host, port: CALLER_PORT, path: `/${kind}/a`, method: 'POST', headers, body };
  const answer = await send(call).catch(() => undefined);
  const isWhole =
    answer?.status === 200 &&
    (!isStream || answer.text.split('\n\n').length === Number(options.events) + 1);
  answers[isWhole ? 'whole' : 'failed'] += 1;
}

/** Sends calls and streams at the rate, to each entry in turn. */
async function load(entries, kind, duration) {
  const asked = [];
  const rate = Number(options.rate);
  const begin = performance.now();
  for (let number = 0; number < (rate * duration) / 1000; number += 1) {
    const due = begin + (number * 1000) / rate;
    if (due > performance.now()) await wait(due - performance.now());
    asked.push(ask(entries[number % entries.length], kind, number));
  }
  await Promise.all(asked);
  return asked.length;
}

const average = (numbers) => numbers.reduce((sum, number) => sum + number, 0) / numbers.length;

function median(numbers) {
  const sorted = [...numbers].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)];
}

/** Prints a figure of each build and its ratio to that of the first. */
function report(title, figures) {
  const [first] = figures;
  const texts = figures.map((figure, at) => {
    const ratio = at === 0 ? '' : ` (${(figure / first).toFixed(3)})`;
    return `${builds[at].name} ${figure.toFixed(3)}${ratio}`;
  });
  console.log(`${title}: ${texts.join(', ')}`);
}

/** Processor time of each process during `run`. */
async function measure(processes, run) {
  const before = processes.map(({ child }) => readProcessorTime(child.pid));
  const result = await run();
  const spent = processes.map(({ child }, at) => readProcessorTime(child.pid) - before[at]);
  return { result, spent };
}

function byBuild(processes, spent) {
  return builds.map((build) => spent.filter((_, at) => processes[at].build === build));
}

async function measureRest(title, processes) {
  const { spent } = await measure(processes, async () => wait(seconds * 1000));
  const rest = byBuild(processes, spent).map((times) => average(times) / seconds);
  report(`${title} at rest, ms per second`, rest);
}

async function measureLoad(entries, kind) {
  const { result: count, spent } = await measure(entries, async () =>
    load(entries, kind, seconds * 1000),
  );
  const idle = await measure(entries, async () => wait(seconds * 1000));
  const figures = byBuild(entries, spent).map((times, at) => {
    const idleTimes = byBuild(entries, idle.spent)[at];
    return ((average(times) - average(idleTimes)) * entries.length) / count;
  });
  report(`one of ${count} ${kind}, ms`, figures);
}

/** Processor time from the start to readiness, of builds in turn. */
async function measureStarts() {
  const times = builds.map(() => []);
  const bare = [];
  for (let number = 0; number < Number(options.starts); number += 1) {
    for (let at = 0; at < builds.length; at += 1) {
      const entry = start('entry', entryCount + at, builds[(at + number) % builds.length]);
      await waitUntilReady(entry);
      times[(at + number) % builds.length].push(readProcessorTime(entry.child.pid));
      entry.child.kill('SIGKILL');
    }
    const node = spawn(process.execPath, [...NODE_FLAGS, '-e', 'setTimeout(()=>{},1000)']);
    await wait(400);
    bare.push(readProcessorTime(node.pid));
    node.kill('SIGKILL');
  }
  report('start of an entry, ms', times.map(median));
  console.log(`start of a bare Node, ms: ${median(bare).toFixed(1)}`);
}

startPlatform();
for (let position = 0; position < serverCount; position += 1) startServer(position);
if (options.profile !== undefined) mkdirSync(options.profile, { recursive: true });
const profileFlags =
  options.profile === undefined
    ? () => []
    : (name) => ['--cpu-prof', `--cpu-prof-dir=${options.profile}`, `--cpu-prof-name=${name}`];
const stores = Array.from({ length: storeCount }, (_, position) =>
  start(
    'store',
    position,
    builds[position % builds.length],
    position === 0 ? profileFlags('store.cpuprofile') : [],
  ),
);
await putConfiguration();
const entries = [];
for (let position = 0; position < entryCount; position += 1) {
  const build = builds[position % builds.length];
  const flags = position === 0 ? profileFlags('entry.cpuprofile') : [];
  const entry = start('entry', position, build, flags);
  entries.push(entry);
  if (position % 4 === 3) await waitUntilReady(entry);
}
for (const entry of entries) await waitUntilReady(entry);
await wait(3000);

if (Number(options.starts) > 0) await measureStarts();
await measureRest('entry', entries);
await measureRest('store', stores);
if (Number(options.rate) > 0) {
  await measureLoad(entries, 'calls');
  await measureLoad(entries, 'streams');
  console.log(`${answers.whole} answers whole, ${answers.failed} failed`);
  console.log(`${counted.connections} connections to backend servers for calls`);
}
if (options.profile !== undefined) {
  const profiled = [entries[0], stores[0]];
  profiled.forEach(({ child }) => child.kill('SIGTERM'));
  await wait(12_000);
}
process.exit(0);
