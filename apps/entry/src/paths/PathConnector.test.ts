import assert from 'node:assert/strict';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { test, type TestContext } from 'node:test';
import { setImmediate as nextTurn, setTimeout as wait } from 'node:timers/promises';
import { DirectConnector, ServerConnector, type ServerEndpoint } from '@hornbeampond/adapters';
import type { TunnelPeer } from '@hornbeampond/entry-core';
import { SystemTimerService, type TimerService } from '@hornbeampond/runtime';
import { ManualTimerService } from '@hornbeampond/testing';
import { openTunnel, TunnelServer } from '@hornbeampond/transport';
import { PathConnector, type PathChange } from './PathConnector.js';

const HOST = '127.0.0.1';
const CLUSTER = 'tested';
const SECRET = 'secret-of-the-tested-cluster';
const testOptions = { timeout: 10_000 } as const;

/** Connects only to the servers whose paths are not cut; the others hang or refuse. */
class PartialConnector extends ServerConnector {
  readonly hanging = new Set<string>();

  readonly refusing = new Set<string>();

  /** Names of the servers in the order in which connections to them were asked for. */
  readonly asked: string[] = [];

  private readonly direct = new DirectConnector();

  override async connect(server: ServerEndpoint, signal?: AbortSignal): Promise<Socket> {
    this.asked.push(server.instance);
    if (this.refusing.has(server.instance)) throw new Error('connect ECONNREFUSED');
    if (!this.hanging.has(server.instance)) return this.direct.connect(server, signal);
    return new Promise((_, reject) => {
      signal?.addEventListener('abort', () => reject(new Error('aborted')));
    });
  }
}

/** Four backend servers, an entry whose paths may be cut, and another one that reaches `reached`. */
async function startPaths(
  context: TestContext,
  reached: (instance: string) => boolean = () => true,
  timers: TimerService = new SystemTimerService(),
) {
  const sockets = new Set<Socket>();
  const backends: Server[] = [];
  const servers = await Promise.all(
    ['a', 'b', 'c', 'd'].map(async (instance): Promise<ServerEndpoint> => {
      const backend = createServer((socket) => {
        sockets.add(socket);
        socket.on('error', () => {});
      });
      backends.push(backend);
      await new Promise<void>((resolve) => {
        backend.listen(0, HOST, resolve);
      });
      return { instance, host: HOST, port: (backend.address() as AddressInfo).port };
    }),
  );
  const tunnelled: string[] = [];
  const relay = new TunnelServer({
    cluster: CLUSTER,
    secret: SECRET,
    timers,
    connect: async (instance, signal) => {
      tunnelled.push(instance);
      const server = servers.find((known) => known.instance === instance);
      if (server === undefined || !reached(instance)) throw new Error('not reached');
      return new DirectConnector().connect(server, signal);
    },
  });
  const port = await relay.listen({ host: HOST, port: 0 });
  const peer: TunnelPeer = {
    instance: 'entry-2',
    dataCentre: 'wien-a',
    address: { host: HOST, port },
    lostPaths: 0,
    isSlow: false,
  };
  const direct = new PartialConnector();
  const changes: PathChange[] = [];
  const renewed: string[] = [];
  const connector = new PathConnector({
    timers,
    direct,
    identity: { cluster: CLUSTER, instance: 'entry-1', dataCentre: 'wien-a' },
    secret: SECRET,
    isSlow: () => false,
    readPeers: () => [peer],
    listServers: () => servers,
    onPathChanged: (change) => changes.push(change),
    renewConnections: ({ instance }) => renewed.push(instance),
  });
  context.after(async () => {
    connector.close();
    sockets.forEach((socket) => socket.destroy());
    backends.forEach((backend) => backend.close());
    await relay.close();
  });
  const [first] = servers;
  assert.ok(first !== undefined);
  const connect = async (server: ServerEndpoint = first) => {
    const socket = await connector.connect(server, AbortSignal.timeout(3000));
    socket.on('error', () => {});
    sockets.add(socket);
  };
  /** Opens a tunnel to the last server as another process does. */
  const openOtherTunnel = async () => {
    const ends = { cluster: CLUSTER, client: 'entry-3', backendServer: 'd' };
    const options = { ...ends, address: peer.address, secret: SECRET };
    sockets.add(await openTunnel(options, AbortSignal.timeout(3000)));
  };
  return { servers, direct, changes, renewed, tunnelled, connector, connect, openOtherTunnel };
}

// Guards against parts for lost paths that act where every path is whole.
test(
  'while paths are whole, servers are only connected to directly',
  testOptions,
  async (context) => {
    const { servers, direct, changes, renewed, tunnelled, connect } = await startPaths(context);
    for (const server of servers) await connect(server);
    await wait(300);
    assert.deepEqual(direct.asked, ['a', 'b', 'c', 'd']);
    assert.deepEqual([changes, renewed, tunnelled], [[], [], []]);
  },
);

/** A connection through a tunnel takes less than the head start of a path that is believed whole. */
const BELOW_HEAD_START_MILLISECONDS = 239;

/** Enough turns for an aborted connection to be noticed by whoever opened it. */
async function settle(): Promise<void> {
  for (let turn = 0; turn < 4; turn += 1) await nextTurn();
}

// Guards against requests that wait for each lost path in turn, on connections that lead nowhere.
test('when one path is lost, the others are found lost too', testOptions, async (context) => {
  const timers = new ManualTimerService();
  const paths = await startPaths(context, () => true, timers);
  const { servers, direct, changes, renewed, tunnelled, connect, openOtherTunnel } = paths;
  ['a', 'b', 'c', 'd'].forEach((instance) => direct.hanging.add(instance));
  const first = connect();
  timers.advance(BELOW_HEAD_START_MILLISECONDS);
  // The relay accepts in order, so that it would have seen a tunnel that was opened earlier.
  await openOtherTunnel();
  assert.deepEqual(tunnelled, ['d']);
  timers.advance(700);
  await first;
  timers.advance(700);
  await settle();
  assert.deepEqual(renewed.sort(), ['a', 'b', 'c', 'd']);
  for (const server of servers) {
    const connected = connect(server);
    // Time stands still from here on: a tunnel that is due later is never opened.
    timers.advance(BELOW_HEAD_START_MILLISECONDS);
    await connected;
  }
  const lost = changes.filter(({ isLost }) => isLost).map(({ backendServer }) => backendServer);
  assert.deepEqual(lost.sort(), ['a', 'b', 'c', 'd']);
});

// Guards against an entry that goes on through others for long after its paths are back.
test('paths that are back are used again', testOptions, async (context) => {
  const { direct, changes, tunnelled, connect } = await startPaths(context);
  direct.refusing.add('a');
  await connect();
  assert.deepEqual(changes, [{ backendServer: 'a', isLost: true, relay: 'entry-2' }]);
  direct.refusing.clear();
  await wait(900);
  assert.deepEqual(changes.slice(1), [{ backendServer: 'a', isLost: false }]);
  await connect();
  assert.deepEqual(tunnelled, ['a']);
});

// A backend server that is down is down for all. Guards against a path that counts as lost, and against
// a tunnel for each connection.
test('a server that nobody reaches has no lost path', testOptions, async (context) => {
  const { direct, changes, tunnelled, connect } = await startPaths(context, () => false);
  direct.refusing.add('a');
  await assert.rejects(connect(), /ECONNREFUSED/);
  await assert.rejects(connect(), /ECONNREFUSED/);
  assert.deepEqual(changes, []);
  assert.deepEqual(tunnelled, ['a']);
});
