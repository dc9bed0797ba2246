import assert from 'node:assert/strict';
import { test } from 'node:test';
import { makeRequest, SimulatedCluster } from '../driver/index.js';
import { getPoolState } from '../backendServers/getPoolState.js';
import { recordFailure } from '../backendServers/ejectOutliers.js';
import { hasRestarted } from '../quarantine/hasRestarted.js';
import { listTunnelPeers } from './listTunnelPeers.js';

function startEntry() {
  const cluster = new SimulatedCluster({ engines: { 'wien-a': 4 }, entries: 2 });
  cluster.entry.submitRequest(makeRequest('request-1'));
  cluster.advance(1500);
  const { entry } = cluster;
  const [server] = entry.state.backendServers.values();
  assert.ok(server !== undefined);
  const { instance } = server.platformInstance;
  return { cluster, entry, server, instance };
}

// Guards against a server that gets no work for seconds because of what one entry saw on a lost path.
test('what failed on a lost path does not count against the server', () => {
  const { entry, server, instance } = startEntry();
  const { state } = entry;
  const pool = getPoolState(state, server.platformInstance.pool);
  [1, 2, 3].forEach(() => recordFailure(pool, server, state.clocks.now));
  assert.equal(pool.groupOf(server).ejected.has(server), true);
  state.quarantine.down.set(instance, {
    since: state.clocks.now,
    probeDueAt: Infinity,
    digests: new Set(),
    crashId: 'crash',
  });
  entry.send({
    type: 'serverPathChanged',
    backendServer: instance,
    isLost: true,
    relay: 'entry-2',
  });
  assert.equal(pool.groupOf(server).ejected.has(server), false);
  assert.equal(server.balancing.consecutiveFailures, 0);
  assert.equal(state.quarantine.down.get(instance)?.probeDueAt, state.clocks.now);
});

// A path is cut by resetting what is open on it. Guards against a server that is taken for restarted, and
// against requests that count as suspects of its crash.
test('resets on a lost path are no restart of the server', () => {
  const { entry, instance } = startEntry();
  const { state } = entry;
  const request = { exposure: 100, tokens: 0 };
  const loss = {
    instance,
    openedAt: state.clocks.now,
    attemptsInProgress: new Map(),
    requestsInProgress: new Map([
      ['one', request],
      ['two', request],
    ]),
    resetDigests: new Set(['one', 'two']),
    unanswered: [],
  };
  assert.equal(hasRestarted(state, loss, { answered: true }), true);
  entry.send({ type: 'serverPathChanged', backendServer: instance, isLost: true });
  assert.equal(hasRestarted(state, loss, { answered: true }), false);
  state.quarantine.incarnations.set(instance, 'first');
  assert.equal(hasRestarted(state, loss, { answered: true, incarnation: 'second' }), true);
});

test('an entry tells the others that it accepts tunnels, and how many paths it has lost', () => {
  const { cluster, entry, instance } = startEntry();
  const other = cluster.entryAt(1).state;
  assert.deepEqual(listTunnelPeers(other), []);
  entry.send({ type: 'tunnelsAccepted', address: { host: '192.0.2.1', port: 7072 } });
  entry.send({
    type: 'serverPathChanged',
    backendServer: instance,
    isLost: true,
    relay: 'entry-2',
  });
  entry.send({
    type: 'serverPathChanged',
    backendServer: instance,
    isLost: true,
    relay: 'entry-2',
  });
  cluster.advance(200);
  assert.deepEqual(
    listTunnelPeers(other).map(({ address, lostPaths }) => ({ address, lostPaths })),
    [{ address: { host: '192.0.2.1', port: 7072 }, lostPaths: 1 }],
  );
  entry.send({ type: 'serverPathChanged', backendServer: instance, isLost: false });
  cluster.advance(200);
  assert.deepEqual(
    listTunnelPeers(other).map(({ lostPaths }) => lostPaths),
    [0],
  );
});
