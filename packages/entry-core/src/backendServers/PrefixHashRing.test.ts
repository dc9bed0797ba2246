import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { BackendServerState } from './BackendServerState.js';
import { PrefixHashRing } from './PrefixHashRing.js';
import { makeBalancingState } from './BalancingState.js';

function makeServer(number: number): BackendServerState {
  return {
    listed: {
      instance: `engine-${number}`,
      dataCentre: 'dc-a',
      instanceClass: 'large',
      pool: 'engines',
      state: 'live',
      host: '192.0.2.1',
      port: number,
    },
    attemptIds: new Set(),
    balance: makeBalancingState(8, undefined),
  } as unknown as BackendServerState;
}

const digests = Array.from({ length: 600 }, (_, number) => `conversation-${number}`);

function homesOf(homes: PrefixHashRing): (string | undefined)[] {
  return digests.map((digest) => homes.findServer(digest)?.platformInstance.instance);
}

test('conversations spread over the servers', () => {
  const homes = new PrefixHashRing();
  homes.setServers([1, 2, 3, 4, 5, 6].map(makeServer));
  const counts = new Map<string, number>();
  homesOf(homes).forEach((home = '') => counts.set(home, (counts.get(home) ?? 0) + 1));
  assert.equal(counts.size, 6);
  assert.ok(Math.max(...counts.values()) < 200, JSON.stringify([...counts]));
});

// A server is reclaimed. Its conversations go elsewhere; were all the others to move as well, every
// cache would be of no use at the moment when capacity is shortest.
test('only the conversations of a lost server move', () => {
  const servers = [1, 2, 3, 4, 5, 6].map(makeServer);
  const homes = new PrefixHashRing();
  homes.setServers(servers);
  const before = homesOf(homes);
  homes.setServers(servers.slice(1));
  homesOf(homes).forEach((home, position) => {
    if (before[position] === 'engine-1') assert.notEqual(home, 'engine-1');
    else assert.equal(home, before[position]);
  });
});

// The server is still listed, but rests after failures: the next one on the ring stands in.
test('a server that rests is no home, and has its conversations back afterwards', () => {
  const servers = [1, 2, 3].map(makeServer);
  const homes = new PrefixHashRing();
  homes.setServers(servers);
  const before = homesOf(homes);
  const [first] = servers;
  assert.ok(first !== undefined);
  first.balancing.ejectedUntil = 1000;
  assert.ok(!homesOf(homes).includes('engine-1'));
  first.balancing.ejectedUntil = undefined;
  assert.deepEqual(homesOf(homes), before);
  assert.equal(new PrefixHashRing().findServer('any'), undefined);
});
