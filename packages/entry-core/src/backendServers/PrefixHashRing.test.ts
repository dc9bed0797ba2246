import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { BackendServerState } from './BackendServerState.js';
import { PrefixHashRing } from './PrefixHashRing.js';
import { makeBalancingState } from './BalancingState.js';

function makeServer(number: number): BackendServerState {
  return {
    platformInstance: {
      instance: `engine-${number}`,
      dataCentre: 'dc-a',
      instanceClass: 'large',
      pool: 'engines',
      state: 'live',
      host: '192.0.2.1',
      port: number,
    },
    listedAt: 0,
    attemptIds: new Set(),
    timedOutAttemptIds: new Set(),
    balancing: makeBalancingState(8, undefined),
  } as unknown as BackendServerState;
}

const digests = Array.from({ length: 600 }, (_, number) => `conversation-${number}`);

function findServers(ring: PrefixHashRing): (string | undefined)[] {
  return digests.map((digest) => ring.findServer(digest)?.platformInstance.instance);
}

test('conversations spread over the servers', () => {
  const ring = new PrefixHashRing();
  ring.setServers([1, 2, 3, 4, 5, 6].map(makeServer));
  const counts = new Map<string, number>();
  findServers(ring).forEach((instance = '') =>
    counts.set(instance, (counts.get(instance) ?? 0) + 1),
  );
  assert.equal(counts.size, 6);
  assert.ok(Math.max(...counts.values()) < 200, JSON.stringify([...counts]));
});

// If the loss of one server moved the conversations of the others too, all caches would be useless
// when capacity is lowest.
test('only the conversations of a removed server move', () => {
  const servers = [1, 2, 3, 4, 5, 6].map(makeServer);
  const ring = new PrefixHashRing();
  ring.setServers(servers);
  const before = findServers(ring);
  ring.setServers(servers.slice(1));
  findServers(ring).forEach((instance, position) => {
    if (before[position] === 'engine-1') assert.notEqual(instance, 'engine-1');
    else assert.equal(instance, before[position]);
  });
});

// An ejected server is still listed, so the ring must skip it.
test('an ejected server gets no conversations, and gets its own back afterwards', () => {
  const servers = [1, 2, 3].map(makeServer);
  const ring = new PrefixHashRing();
  ring.setServers(servers);
  const before = findServers(ring);
  const [first] = servers;
  assert.ok(first !== undefined);
  first.balancing.ejectedUntil = 1000;
  assert.ok(!findServers(ring).includes('engine-1'));
  first.balancing.ejectedUntil = undefined;
  assert.deepEqual(findServers(ring), before);
  assert.equal(new PrefixHashRing().findServer('any'), undefined);
});
