import assert from 'node:assert/strict';
import { test } from 'node:test';
import { emptyConfiguration, type Configuration } from '@hornbeampond/schema';
import { applyConfiguration, applyConfigurationDelta } from './applyConfiguration.js';
import {
  reduceConfigurationBootstrap,
  makeConfigurationBootstrap,
  type ConfigurationBootstrapEvent,
} from './ConfigurationBootstrap.js';

function revision(number: number): Configuration {
  return { ...emptyConfiguration, revision: number };
}

function startWith(events: readonly ConfigurationBootstrapEvent[]): string[] {
  const bootstrap = makeConfigurationBootstrap(['store-1', 'entry-2', 'entry-3']);
  return events.flatMap((event) =>
    reduceConfigurationBootstrap(bootstrap, event).map(
      ({ configuration, startedWithoutRead }) =>
        `${configuration.revision}${startedWithoutRead ? ' without quorum' : ''}`,
    ),
  );
}

const fromPeer = (peer: string, number: number): ConfigurationBootstrapEvent => ({
  type: 'peerAnswered',
  peer,
  configuration: revision(number),
});

test('configuration: only newer revisions are applied', () => {
  const state = { configuration: revision(4) };
  const applied = [3, 4, 6, 5].map((number) => applyConfiguration(state, revision(number)).length);
  assert.deepEqual(applied, [0, 0, 1, 0]);
  assert.equal(state.configuration.revision, 6);
});

test('configuration: an outdated delta is ignored, and one from another revision requests the full configuration', () => {
  const state = { configuration: revision(4) };
  const effects = [
    applyConfigurationDelta(state, { fromRevision: 2, toRevision: 4 }),
    applyConfigurationDelta(state, { fromRevision: 5, toRevision: 6 }),
    applyConfigurationDelta(state, { fromRevision: 4, toRevision: 5 }),
  ].map((each) => each.map(({ type }) => type).join());
  assert.deepEqual(effects, ['', 'askWholeConfiguration', 'configurationInForce']);
});

test('configuration: a linearizable read starts the instance immediately', () => {
  const read = { type: 'quorumRead', configuration: revision(7) } as const;
  assert.deepEqual(startWith([fromPeer('entry-2', 6), read, fromPeer('entry-3', 7)]), ['7']);
});

// Guards against starting with an outdated configuration when a lagging peer answers first.
test('configuration: without a quorum the newest revision of all peers is used', () => {
  const events: ConfigurationBootstrapEvent[] = [
    fromPeer('entry-2', 5),
    { type: 'quorumFailed' },
    { type: 'peerFailed', peer: 'store-1' },
    fromPeer('entry-3', 8),
  ];
  assert.deepEqual(startWith(events), ['8 without quorum']);
});

test('configuration: an unreachable peer delays the start only until the time limit', () => {
  assert.deepEqual(startWith([fromPeer('entry-2', 5), { type: 'waitOver' }]), ['5 without quorum']);
});

// Guards against starting with empty tables, which would refuse every caller as unknown. After the
// time limit, the first answer starts the instance.
test('configuration: without any answer the instance does not start', () => {
  const late = fromPeer('entry-3', 2);
  assert.deepEqual(startWith([{ type: 'waitOver' }]), []);
  assert.deepEqual(startWith([{ type: 'waitOver' }, late]), ['2 without quorum']);
});
