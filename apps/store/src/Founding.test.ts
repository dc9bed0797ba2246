import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Logger, SystemTimerService } from '@hornbeampond/runtime';
import type { StoreRequest, StoreStatus } from '@hornbeampond/schema';
import type { PeerClient } from '@hornbeampond/transport';
import { Founding, type FoundingOptions } from './Founding.js';

const olderStatus = { term: 0, voters: [], learners: [] } as unknown as StoreStatus;

function makeSeed(status: StoreStatus | undefined, requests: StoreRequest[] = []): PeerClient {
  const request = async (body: StoreRequest) => {
    requests.push(body);
    if (status === undefined) throw new Error('the connection was lost');
    return { type: 'status', status };
  };
  return { isOpen: true, request } as unknown as PeerClient;
}

function makeFounding(seeds: Record<string, PeerClient>, options: Partial<FoundingOptions> = {}) {
  const lines: Record<string, unknown>[] = [];
  const calls: string[] = [];
  const writeLine = (line: string) => lines.push(JSON.parse(line) as Record<string, unknown>);
  const founding = new Founding({
    timers: new SystemTimerService(),
    logger: new Logger({ process: 'test', instance: 'store-1' }, 'info', writeLine),
    toleratesLoss: true,
    listSeeds: () => new Map(Object.entries(seeds)),
    describeSelf: () => ({ instance: 'store-1', identity: 'disk-1' }),
    hasEarlierRun: () => false,
    findEvidence: () => undefined,
    foundCluster: () => calls.push('found'),
    askConnectedStores: () => {},
    onEnded: () => calls.push('ended'),
    ...options,
  });
  return { founding, lines, calls };
}

// Guards against a store that waits for ever, or founds beside a cluster, because a store of an older version answers
// with its state only.
test('a store of an older version is judged by its state', async () => {
  const requests: StoreRequest[] = [];
  const fresh = makeFounding({ 'store-2': makeSeed(olderStatus, requests) });
  assert.equal(await fresh.founding.run(), 'founded');
  assert.deepEqual(fresh.calls, ['found']);
  assert.deepEqual(requests, [
    { type: 'readStatus', foundingCandidate: { instance: 'store-1', identity: 'disk-1' } },
  ]);
  for (const used of [{ term: 3 }, { voters: ['store-2'] }, { learners: ['store-2'] }]) {
    const { founding, calls, lines } = makeFounding({
      'store-2': makeSeed({ ...olderStatus, ...used }),
    });
    assert.equal(await founding.run(), 'givenUp');
    assert.deepEqual(calls, ['ended']);
    const [line] = lines;
    assert.deepEqual(
      [line?.event, line?.reason, line?.seed],
      ['foundingGivenUp', 'seedKnowsCluster', 'store-2'],
    );
  }
});

// Guards against an operator whose call is refused and has its effect later.
test('an operator’s attempt that finds no answers ends with its call', async () => {
  const { founding, calls } = makeFounding({ 'store-2': makeSeed(undefined) });
  assert.equal(await founding.runFor(60), 'stopped');
  assert.equal(founding.isRunning, false);
  assert.deepEqual(calls, ['ended']);
});

test('an attempt that was there before an operator’s call goes on after it', async () => {
  const { founding, calls } = makeFounding({ 'store-2': makeSeed(undefined) });
  const outcome = founding.run();
  assert.equal(await founding.runFor(60), 'undecided');
  assert.equal(founding.isRunning, true);
  founding.recordMessage();
  assert.equal(await outcome, 'givenUp');
  assert.deepEqual(calls, ['ended']);
});

test('a store that waits to found logs what each seed has answered, for some of them', async () => {
  const seeds = Object.fromEntries(
    Array.from({ length: 40 }, (_, number) => [
      `seed-${number}`,
      makeSeed(number === 0 ? olderStatus : undefined),
    ]),
  );
  const { founding, lines } = makeFounding(seeds);
  assert.equal(await founding.runFor(1200), 'stopped');
  const [line, ...others] = lines;
  assert.deepEqual([line?.event, line?.seeds, others], ['foundingWaits', 40, []]);
  const answers = line?.answers as { seed: string; answer: string }[];
  assert.equal(answers.length, 16);
  assert.deepEqual(
    answers.slice(0, 2).map(({ seed, answer }) => [seed, answer]),
    [
      ['seed-0', 'supports'],
      ['seed-1', 'none'],
    ],
  );
});
