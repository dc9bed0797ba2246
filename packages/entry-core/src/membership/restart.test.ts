/**
 * Restart of all entries after a power loss under load: waiting callers arrive together, and the
 * entries have lost what they knew of engines.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { makeEntryState, type EntryState } from '../EntryState.js';
import type { EntryEffect } from '../entryEffects.js';
import { reduceEntry } from '../reduceEntry.js';
import { examplePool, exampleRequest, exampleRoute } from '../testing/examples.js';

const ENGINES = ['engine-0', 'engine-1', 'engine-2', 'engine-3'];
const wallNow = Date.UTC(2026, 0, 15, 11);

function makeEntry(): EntryState {
  return makeEntryState({
    instance: 'entry-1',
    dataCentre: 'dc-a',
    incarnation: wallNow,
    maxQueuedRequests: 100,
  });
}

function listEngines(state: EntryState): void {
  const instances = ENGINES.map((instance) => ({
    instance,
    dataCentre: 'dc-a',
    instanceClass: 'large',
    pool: 'engines',
    state: 'live' as const,
    host: '192.0.2.1',
    port: 8000,
  }));
  reduceEntry(state, { type: 'instancesListed', instances, now: 0, wallNow });
}

function configure(state: EntryState): EntryEffect[] {
  const configuration = {
    revision: 1,
    routes: { revision: 1, rows: [exampleRoute()] },
    pools: { revision: 1, rows: [examplePool(32)] },
  };
  return reduceEntry(state, { type: 'configurationReceived', configuration, now: 300, wallNow });
}

function arrive(state: EntryState, name: string, prefixDigests: readonly string[] = []) {
  const prefixTokens = prefixDigests.map((_, index) => (index + 1) * 6000);
  const request = exampleRequest(name, { promptTokens: 12_000, prefixDigests, prefixTokens });
  return reduceEntry(state, { type: 'requestArrived', request, now: 100, wallNow });
}

function targetsOf(effects: readonly EntryEffect[]): string[] {
  return effects.flatMap((effect) =>
    effect.type === 'startAttempt' ? [effect.target.instance] : [],
  );
}

// Requests that wait for the configuration are admitted together. Guards against placing each as if
// the others were not there: long prompts would queue at one engine.
test('requests that have waited for the configuration are spread over the engines', () => {
  const state = makeEntry();
  listEngines(state);
  ENGINES.forEach((_, number) => arrive(state, `request-${number}`));
  const targets = targetsOf(configure(state));
  assert.deepEqual([...targets].sort(), ENGINES);
});

// Guards against sending a prompt to an engine that does not have its shared prefix cached.
test('cached prefixes and delays that a store has persisted are restored', () => {
  const state = makeEntry();
  const computed = { 'engine-2': ['terms'] };
  const delay = { samples: 100, meanX: 5000, meanY: 150, meanXX: 30e6, meanXY: 850_000 };
  const remembered = { usage: [], delays: { engines: delay }, computed };
  reduceEntry(state, { type: 'knowledgeRemembered', remembered, now: 0, wallNow });
  listEngines(state);
  configure(state);
  assert.deepEqual(targetsOf(arrive(state, 'request', ['terms', 'terms/own'])), ['engine-2']);
  const { firstTokenRegression } = state.poolStates.get('engines') ?? {};
  assert.equal(Math.round(firstTokenRegression?.predict(5000) ?? 0), 150);
});
