import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  decideFounding,
  decideSupport,
  type FoundingSituation,
  type SeedAnswer,
  type SupportSituation,
} from './decideFounding.js';

type Said = 'supports' | 'refuses' | 'knowsCluster' | 'expired' | 'silent';

const NOW = 10_000;

function makeAnswers(said: readonly Said[]): ReadonlyMap<string, SeedAnswer> {
  const answers = new Map<string, SeedAnswer>();
  said.forEach((word, position) => {
    if (word === 'silent') return;
    answers.set(`seed-${position}`, {
      askedAt: word === 'expired' ? NOW - 501 : NOW - 500,
      knowsCluster: word === 'knowsCluster',
      supports: word === 'supports' || word === 'expired',
    });
  });
  return answers;
}

function decide(said: readonly Said[], waited: number, overrides: Partial<FoundingSituation> = {}) {
  return decideFounding({
    now: NOW,
    startedAt: NOW - waited,
    evidence: undefined,
    supportsItself: true,
    others: said.map((_, position) => `seed-${position}`),
    answers: makeAnswers(said),
    toleratesLoss: true,
    ...overrides,
  }).type;
}

// Guards against a second cluster beside one that a seed belongs to, and against a deployment that is never founded
// because one seed is gone.
test('a store founds with all seeds at once, and with a majority after a second', () => {
  const rows: [readonly Said[], number, string][] = [
    [[], 0, 'found'],
    [['supports'], 0, 'found'],
    [['silent'], 60_000, 'wait'],
    [['supports', 'supports'], 0, 'found'],
    [['supports', 'silent'], 999, 'wait'],
    [['supports', 'silent'], 1000, 'found'],
    [['supports', 'expired'], 999, 'wait'],
    [['expired', 'expired'], 1000, 'wait'],
    [['supports', 'refuses'], 999, 'wait'],
    [['supports', 'refuses'], 1000, 'found'],
    [['refuses', 'silent'], 60_000, 'wait'],
    [['silent', 'silent'], 60_000, 'wait'],
    [['supports', 'knowsCluster'], 0, 'giveUp'],
    [['silent', 'knowsCluster'], 60_000, 'giveUp'],
    // Of four, two are no majority.
    [['supports', 'silent', 'silent'], 60_000, 'wait'],
    [['supports', 'supports', 'silent'], 1000, 'found'],
    [['supports', 'supports', 'silent', 'silent'], 1000, 'found'],
    [['supports', 'refuses', 'refuses', 'silent'], 60_000, 'wait'],
  ];
  const decided = rows.map(([said, waited]) => [said, waited, decide(said, waited)]);
  assert.deepEqual(decided, rows);
});

test('where no loss is tolerated, silent seeds delay the founding, and refusals prevent it', () => {
  const options = { toleratesLoss: false };
  assert.equal(decide(['silent', 'silent'], 999, options), 'wait');
  assert.equal(decide(['silent', 'silent'], 1000, options), 'found');
  assert.equal(decide(['refuses', 'silent'], 1000, options), 'wait');
  assert.equal(decide(['knowsCluster', 'silent'], 1000, options), 'giveUp');
});

test('what the store knows itself ends the attempt, and its promise to another one delays it', () => {
  assert.equal(decide(['supports'], 0, { evidence: 'diskUsed' }), 'giveUp');
  assert.equal(decide([], 0, { evidence: 'member' }), 'giveUp');
  assert.equal(decide(['supports'], 5000, { supportsItself: false }), 'wait');
  // An answer counts although the settings no longer name the seed.
  assert.equal(decide(['knowsCluster'], 0, { others: [] }), 'giveUp');
});

const store2 = { instance: 'store-2', identity: 'disk-2' };

const undecided: SupportSituation = {
  now: NOW,
  evidence: undefined,
  promise: undefined,
  earlierRunUntil: 0,
  ownCandidacy: undefined,
};

// Guards against two stores that found at once, each with the support of the same seed.
test('a store supports one founder at a time', () => {
  const rows: [string, Partial<SupportSituation>, boolean][] = [
    ['asked by nobody else', {}, true],
    ['is part of a cluster', { evidence: 'member' }, false],
    ['has promised another', { promise: { identity: 'disk-1', until: NOW + 1 } }, false],
    ['has promised the same', { promise: { identity: 'disk-2', until: NOW + 1 } }, true],
    ['its promise has ended', { promise: { identity: 'disk-1', until: NOW } }, true],
    ['may have promised in an earlier run', { earlierRunUntil: NOW + 1 }, false],
    ['is a candidate before', { ownCandidacy: { instance: 'store-1', identity: 'x' } }, false],
    ['is a candidate after', { ownCandidacy: { instance: 'store-3', identity: 'x' } }, true],
    ['another disk, before', { ownCandidacy: { instance: 'store-2', identity: 'a' } }, false],
    ['another disk, after', { ownCandidacy: { instance: 'store-2', identity: 'x' } }, true],
  ];
  const decided = rows.map(([name, situation]) => [
    name,
    situation,
    decideSupport({ ...undecided, ...situation }, store2),
  ]);
  assert.deepEqual(decided, rows);
});
