/**
 * All entries are killed while streams run, and callers take the streams up at entries that have just
 * started. These know nothing but what stores have kept, and their first list may show another version
 * than the one that began a stream.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { makeRequest, SimulatedCluster, type CallerRecord } from '../driver/index.js';

const DATA_CENTRE = 'wien-a';
const ENTRIES = 4;
const ENGINES = 8;
const STREAMS = 24;
const NEW_STREAMS = 12;
const DOWN_MILLISECONDS = 2000;
const LIST_INTERVAL_MILLISECONDS = 1000;

/** Callers abandon a stream after a gap of this length. */
const PATIENCE_MILLISECONDS = 4800;

/** The aim for the streams whose version serves; the least is half of the share of new ones that begin. */
const LEAST_SHARE = 0.9;

interface Scenario {
  /** Versions of the engines when the streams begin, in turn. */
  readonly before: readonly string[];
  /** What happens while the entries are down, or before. */
  readonly change?: (cluster: SimulatedCluster) => void;
  /** True if the entries miss the list with the change, since they are killed before it. */
  readonly isUnlisted?: boolean;
  readonly areStoresRestarted?: boolean;
}

interface Outcome {
  readonly mixed: number;
  /** Of the streams whose version serves. */
  readonly goneOn: number;
  readonly servable: number;
  readonly refusedAtOnce: number;
  readonly othersRefused: number;
  readonly begun: number;
}

function addEngines(cluster: SimulatedCluster, version: string): void {
  for (let number = 1; number <= ENGINES; number += 1) {
    cluster.addEngine(`${DATA_CENTRE}-${version}-engine-${number}`, DATA_CENTRE, version);
  }
}

function removeEngines(cluster: SimulatedCluster, version: string): void {
  [...cluster.engines.values()]
    .filter((engine) => engine.version === version)
    .forEach((engine) => engine.die());
  cluster.publishAliveEngines();
}

function replaceVersion(cluster: SimulatedCluster): void {
  addEngines(cluster, 'v2');
  removeEngines(cluster, 'v1');
}

function startStreams(cluster: SimulatedCluster): CallerRecord[] {
  const callers = Array.from({ length: STREAMS }, (_, number) =>
    cluster
      .entryAt(number % ENTRIES)
      .submitRequest(makeRequest(`stream-${number}`, { maxTokens: 400 })),
  );
  while (callers.some(({ tokens }) => tokens.length < 10)) cluster.advance(10);
  return callers;
}

function restartEntries(cluster: SimulatedCluster): void {
  for (let position = 0; position < ENTRIES; position += 1) cluster.restartEntry(position);
}

function isRefused({ finalAnswers: [end] }: CallerRecord): boolean {
  return end?.type === 'problem' && end.kind === 'versionUnavailable' && end.ran === 'no';
}

function play({ before, change, areStoresRestarted = false }: Scenario): Outcome {
  const cluster = new SimulatedCluster({
    engines: { [DATA_CENTRE]: ENGINES },
    versions: before,
    entries: ENTRIES,
    listIntervalMilliseconds: LIST_INTERVAL_MILLISECONDS,
  });
  cluster.advance(LIST_INTERVAL_MILLISECONDS);
  const streams = startStreams(cluster);
  cluster.entries.forEach((entry) => entry.kill());
  change?.(cluster);
  if (areStoresRestarted) cluster.forgetOrigins();
  cluster.advance(DOWN_MILLISECONDS);
  restartEntries(cluster);
  const tokensBefore = streams.map(({ tokens }) => tokens.length);
  const takenUp = streams.map((stream, number) =>
    cluster.entryAt((number + 1) % ENTRIES).takeUp(stream, `again-${number}`),
  );
  const begun = Array.from({ length: NEW_STREAMS }, (_, number) =>
    cluster.entryAt(number % ENTRIES).submitRequest(makeRequest(`new-${number}`)),
  );
  cluster.advance(500);
  const refusedAtOnce = takenUp.filter(isRefused).length;
  cluster.advance(PATIENCE_MILLISECONDS - 500);
  const serving = new Set(
    [...cluster.engines.values()].filter(({ alive }) => alive).map(({ version }) => version),
  );
  const servable = streams.map(({ versions }) => serving.has([...versions][0]));
  const hasGoneOn = takenUp.map(
    ({ tokens }, number) => tokens.length > (tokensBefore[number] ?? 0),
  );
  return {
    mixed: takenUp.filter(({ versions }) => versions.size > 1).length,
    goneOn: hasGoneOn.filter((goneOn, number) => goneOn && servable[number]).length,
    servable: servable.filter(Boolean).length,
    refusedAtOnce,
    othersRefused: takenUp.filter((caller, number) => !servable[number] && isRefused(caller))
      .length,
    begun: begun.filter(({ tokens }) => tokens.length > 0).length,
  };
}

const scenarios: Readonly<Record<string, Scenario>> = {
  'one version has served all along': { before: ['v1'] },
  'another version has replaced theirs': { before: ['v1'], change: replaceVersion },
  'another version has come beside theirs': {
    before: ['v1'],
    change: (cluster) => addEngines(cluster, 'v2'),
  },
  'two versions serve': { before: ['v1', 'v2'] },
  'one of two versions has left': {
    before: ['v1', 'v2'],
    change: (cluster) => removeEngines(cluster, 'v1'),
  },
};

// Guards against streams that are continued at the version on the first list of an entry that has just
// started, and against entries that refuse all of them because they cannot know.
for (const [what, scenario] of Object.entries(scenarios)) {
  test(`streams are taken up after all entries were killed; ${what}`, () => {
    const { mixed, goneOn, servable, refusedAtOnce, othersRefused, begun } = play(scenario);
    assert.equal(mixed, 0, `${mixed} of ${STREAMS} streams are of two versions`);
    assert.equal(begun, NEW_STREAMS);
    assert.ok(goneOn >= servable * LEAST_SHARE, `${goneOn} of ${servable} go on`);
    assert.equal(othersRefused, STREAMS - servable);
    // Nobody who cannot go on waits for a deadline.
    assert.ok(refusedAtOnce >= STREAMS - servable, `${refusedAtOnce} are refused at once`);
  });
}

// Guards against the same where the stores have restarted as well, with what they keep in memory.
for (const [what, scenario] of Object.entries(scenarios)) {
  test(`no stream is of two versions after entries and stores were killed; ${what}`, () => {
    const { mixed, begun } = play({ ...scenario, areStoresRestarted: true });
    assert.equal(mixed, 0, `${mixed} of ${STREAMS} streams are of two versions`);
    assert.equal(begun, NEW_STREAMS);
  });
}
