/**
 * A cluster of real consensus reducers as one value, for the state explorer and random schedules.
 * Disks keep only synced writes, and pending messages can be delivered in any order. A step returns
 * a new cluster and copies only the store that it changes. The effects of every step are checked
 * against the safety properties; `violation` holds the first failure.
 */
import {
  createConsensusState,
  defaultConsensusSettings,
  type ConsensusSettings,
  type ConsensusState,
} from '../ConsensusState.js';
import type { ConsensusEffect, ConsensusEvent, PersistEffect } from '../consensusEvents.js';
import type { Envelope, Member } from '../consensusTypes.js';
import { entryAt } from '../memoryLog.js';
import { votersOf } from '../membership.js';
import { fillSnapshotPart } from '../snapshots.js';
import { reduceConsensus } from '../reduceConsensus.js';
import {
  saveSnapshot,
  makeEmptyDisk,
  writeBatch,
  type ModelDisk,
  type SavedSnapshot,
} from './modelDisk.js';
import {
  copyState,
  makeBatchKey,
  makeEntryKey,
  makeEnvelopeKey,
  makeStateKey,
} from './modelKeys.js';

/** A fault in the code that carries out the reducer's effects, injected to test the checks. */
export type ShellMutation = 'acknowledgeBeforeSync' | 'voteForgotten' | 'lostDiskKeepsIdentity';

type PendingWrite =
  | { readonly type: 'batch'; readonly effect: PersistEffect }
  | { readonly type: 'snapshot'; readonly snapshot: SavedSnapshot };

/** One store of the cluster, also one that is not a member yet. */
export interface ModelStore {
  readonly instance: string;
  identity: string;
  now: number;
  /** Undefined while the process is stopped. */
  state?: ConsensusState;
  disk: ModelDisk;
  pendingWrites: PendingWrite[];
  /** Keys of the entries that the state machine holds, in order. */
  applied: string[];
  key: string;
}

export interface ModelMessage {
  /** The recipient. */
  readonly instance: string;
  readonly envelope: Envelope;
  readonly key: string;
}

export interface ModelCluster {
  readonly settings: ConsensusSettings;
  readonly mutation?: ShellMutation;
  /** All stores by instance, also those that are not voters. */
  readonly voters: Readonly<Record<string, ModelStore>>;
  readonly network: readonly ModelMessage[];
  readonly leaderByTerm: Readonly<Record<number, string>>;
  /** Keys of all entries that any store has applied, from index 1 on. */
  readonly committed: readonly string[];
  readonly acknowledgedIndex: number;
  /** For each read, by request id, the index that was acknowledged when it began. */
  readonly minIndexByReadId: Readonly<Record<string, number>>;
  readonly answeredReadCount: number;
  /** Number of snapshots that stores have installed from a leader. */
  readonly restoreCount: number;
  readonly requestCount: number;
  /**
   * For each disk identity, the key of the entry last synced at each log index (element 0 is
   * unused). Kept after the disk is lost.
   */
  readonly lastSyncedKeysByIdentity: Readonly<Record<string, readonly string[]>>;
  readonly violation?: string;
}

/** The copy of a cluster that a step changes in place. */
type MutableCluster = { -readonly [Name in keyof ModelCluster]: ModelCluster[Name] };

export function makeAddress(instance: string) {
  return { instance, dataCentre: 'wien-a', host: '127.0.0.1', port: 1 };
}

function copyStore(store: ModelStore): ModelStore {
  return {
    ...store,
    ...(store.state === undefined ? {} : { state: copyState(store.state) }),
    disk: { ...store.disk, entries: [...store.disk.entries] },
    pendingWrites: [...store.pendingWrites],
    applied: [...store.applied],
  };
}

function makeStoreKey({ identity, state, disk, pendingWrites, applied }: ModelStore): string {
  const pendingKeys = pendingWrites.map((write) =>
    write.type === 'batch' ? makeBatchKey(write.effect) : `snapshot ${write.snapshot.header.index}`,
  );
  const entryKeys = disk.entries.map((entry) => `${entry.index}=${makeEntryKey(entry)}`);
  const { runs, term, votedFor, snapshot } = disk;
  const diskKey = [runs, term, votedFor, snapshot?.header.index, entryKeys.join('|')].join();
  const stateKey = state === undefined ? 'down' : makeStateKey(state);
  return [identity, stateKey, diskKey, pendingKeys.join('|'), applied.length].join('#');
}

/** Copies the cluster and one store, both of which the step then changes. */
function copyForStep(cluster: ModelCluster, instance: string): [MutableCluster, ModelStore] {
  const original = cluster.voters[instance];
  if (original === undefined) throw new Error(`There is no store ${instance}`);
  const store = copyStore(original);
  return [{ ...cluster, voters: { ...cluster.voters, [instance]: store } }, store];
}

function recordViolation(cluster: MutableCluster, reason: string): void {
  cluster.violation ??= reason;
}

function recordCommitted(cluster: MutableCluster, index: number, entryKey: string): void {
  const recordedKey = cluster.committed[index - 1];
  if (recordedKey === entryKey) return;
  if (recordedKey !== undefined) {
    recordViolation(cluster, `index ${index} was committed as ${recordedKey} and as ${entryKey}`);
    return;
  }
  if (index !== cluster.committed.length + 1)
    recordViolation(cluster, `index ${index} was committed before a lower index`);
  cluster.committed = [...cluster.committed, entryKey];
}

/** An entry may be committed only once a quorum of the voters has synced it. */
function checkCommitQuorum(
  cluster: MutableCluster,
  store: ModelStore,
  index: number,
  entryKey: string,
): void {
  if (store.state?.role.type !== 'leader') return;
  const voters = votersOf(store.state);
  const copies = voters.filter(
    ({ identity }) => cluster.lastSyncedKeysByIdentity[identity]?.[index] === entryKey,
  );
  if (copies.length * 2 <= voters.length) {
    recordViolation(cluster, `index ${index} was committed with ${copies.length} synced copies`);
  }
}

/** A term has at most one leader, and the log of a new leader holds all committed entries. */
function checkNewLeader(cluster: MutableCluster, store: ModelStore, term: number): void {
  const recordedLeader = cluster.leaderByTerm[term];
  if (recordedLeader !== undefined && recordedLeader !== store.identity)
    recordViolation(cluster, `two leaders in term ${term}`);
  cluster.leaderByTerm = { ...cluster.leaderByTerm, [term]: store.identity };
  const { state } = store;
  if (state === undefined) return;
  cluster.committed.forEach((entryKey, position) => {
    const index = position + 1;
    if (index <= state.log.base.index) return;
    const entry = entryAt(state, index);
    if (entry === undefined || makeEntryKey(entry) !== entryKey) {
      recordViolation(cluster, `the leader of term ${term} lacks the committed index ${index}`);
    }
  });
}

function recordSynced(cluster: MutableCluster, store: ModelStore): void {
  const syncedKeys = [...(cluster.lastSyncedKeysByIdentity[store.identity] ?? [])];
  const { snapshot, entries } = store.disk;
  if (snapshot !== undefined) {
    const appliedKeys = JSON.parse(Buffer.from(snapshot.data).toString()) as string[];
    appliedKeys.forEach((entryKey, position) => {
      syncedKeys[position + 1] = entryKey;
    });
  }
  entries.forEach((entry) => {
    syncedKeys[entry.index] = makeEntryKey(entry);
  });
  cluster.lastSyncedKeysByIdentity = {
    ...cluster.lastSyncedKeysByIdentity,
    [store.identity]: syncedKeys,
  };
}

function applyEffect(cluster: MutableCluster, store: ModelStore, effect: ConsensusEffect): void {
  switch (effect.type) {
    case 'persist':
      store.pendingWrites.push({ type: 'batch', effect });
      if (cluster.mutation === 'acknowledgeBeforeSync') {
        handleEvent(cluster, store, { type: 'persisted', batch: effect.batch });
      }
      break;
    case 'send':
      send(cluster, effect.instance, effect.envelope);
      break;
    case 'sendSnapshot': {
      const { snapshot } = store.disk;
      const envelope = snapshot && fillSnapshotPart(effect, snapshot);
      if (envelope !== undefined) send(cluster, effect.instance, envelope);
      break;
    }
    case 'apply': {
      const entryKey = makeEntryKey(effect.entry);
      if (effect.index !== store.applied.length + 1)
        recordViolation(cluster, 'an entry was applied out of order');
      store.applied.push(entryKey);
      const isFirstApplication = effect.index > cluster.committed.length;
      recordCommitted(cluster, effect.index, entryKey);
      if (isFirstApplication) checkCommitQuorum(cluster, store, effect.index, entryKey);
      break;
    }
    case 'restore': {
      cluster.restoreCount += 1;
      store.applied = JSON.parse(Buffer.from(effect.data).toString()) as string[];
      if (store.applied.length !== effect.header.index)
        recordViolation(cluster, 'the number of entries in a snapshot differs from its index');
      store.applied.forEach((entryKey, position) =>
        recordCommitted(cluster, position + 1, entryKey),
      );
      break;
    }
    case 'takeSnapshot': {
      const data = new Uint8Array(Buffer.from(JSON.stringify(store.applied)));
      store.pendingWrites.push({ type: 'snapshot', snapshot: { header: effect.header, data } });
      break;
    }
    case 'reply': {
      const { outcome, requestId } = effect;
      if (outcome.type === 'committed') {
        cluster.acknowledgedIndex = Math.max(cluster.acknowledgedIndex, outcome.index);
      }
      if (outcome.type === 'readable') {
        const minIndex = cluster.minIndexByReadId[requestId] ?? 0;
        cluster.answeredReadCount += 1;
        if (store.applied.length < minIndex) {
          recordViolation(cluster, `a read missed index ${minIndex}, acknowledged before it began`);
        }
      }
      break;
    }
    case 'roleChanged':
      if (effect.role === 'leader') checkNewLeader(cluster, store, effect.term);
      break;
    default:
  }
}

function send(cluster: MutableCluster, instance: string, envelope: Envelope): void {
  const message = { instance, envelope, key: makeEnvelopeKey(envelope) };
  cluster.network = [...cluster.network, message];
}

type WithoutTimestamps<Event> = Event extends ConsensusEvent
  ? Omit<Event, 'now' | 'wallNow'>
  : never;
export type ModelEvent = WithoutTimestamps<ConsensusEvent>;

function handleEvent(cluster: MutableCluster, store: ModelStore, event: ModelEvent): void {
  const { state, now } = store;
  if (state === undefined) return;
  const votersBefore = votersOf(state).map((member) => member.identity);
  try {
    const effects = reduceConsensus(state, { ...event, now, wallNow: now });
    effects.forEach((effect) => applyEffect(cluster, store, effect));
  } catch (error) {
    recordViolation(cluster, String(error));
  }
  checkNewVoters(cluster, state, votersBefore);
}

/** A disk becomes a voter only once it holds every entry that the leader knows to be committed. */
function checkNewVoters(
  cluster: MutableCluster,
  state: ConsensusState,
  previousVoters: readonly string[],
): void {
  if (state.role.type !== 'leader' || previousVoters.length === 0) return;
  votersOf(state)
    .filter(({ identity }) => !previousVoters.includes(identity))
    .forEach(({ identity }) => {
      const syncedKeys = cluster.lastSyncedKeysByIdentity[identity] ?? [];
      const isBehind = cluster.committed
        .slice(0, state.commitIndex)
        .some((entryKey, position) => syncedKeys[position + 1] !== entryKey);
      if (isBehind) recordViolation(cluster, `${identity} became a voter before it had caught up`);
    });
}

function finishStep(cluster: MutableCluster, store: ModelStore): ModelCluster {
  store.key = makeStoreKey(store);
  return cluster;
}

/** Passes one event to one store. */
export function dispatchEvent(
  cluster: ModelCluster,
  instance: string,
  event: ModelEvent,
): ModelCluster {
  const [next, store] = copyForStep(cluster, instance);
  handleEvent(next, store, event);
  return finishStep(next, store);
}

/**
 * Delivers a message and removes it from the network; with `keepCopy` it stays pending, so that it
 * can be delivered again. Unless `keepClock` is set, a vote request first advances the receiver's
 * clock to the time from which it may grant votes.
 */
export function deliver(
  cluster: ModelCluster,
  message: ModelMessage,
  keepCopy = false,
  keepClock = false,
): ModelCluster {
  const [next, store] = copyForStep(cluster, message.instance);
  if (!keepCopy) next.network = cluster.network.filter((other) => other !== message);
  const { state } = store;
  if (!keepClock && state !== undefined && message.envelope.message.type === 'voteRequest') {
    store.now = Math.max(store.now, state.voteAfter, state.supportsCandidateUntil);
  }
  handleEvent(next, store, { type: 'received', envelope: message.envelope });
  return finishStep(next, store);
}

/** Advances a store's clock to the time at which its timer is due, and fires the timer. */
export function fireTimer(cluster: ModelCluster, instance: string): ModelCluster {
  const [next, store] = copyForStep(cluster, instance);
  store.now = Math.max(store.now, store.state?.wakeAt ?? 0);
  handleEvent(next, store, { type: 'timerFired' });
  return finishStep(next, store);
}

/** Advances a store's clock, and fires its timer once if it is due by then. */
export function advanceClock(
  cluster: ModelCluster,
  instance: string,
  milliseconds: number,
): ModelCluster {
  const [next, store] = copyForStep(cluster, instance);
  store.now += milliseconds;
  if (store.state !== undefined && store.now >= store.state.wakeAt) {
    handleEvent(next, store, { type: 'timerFired' });
  }
  return finishStep(next, store);
}

/** Syncs the first `count` pending writes of a store. */
export function syncDisk(cluster: ModelCluster, instance: string, count: number): ModelCluster {
  const [next, store] = copyForStep(cluster, instance);
  store.pendingWrites.splice(0, count).forEach((write) => {
    if (write.type === 'batch') writeBatch(store.disk, write.effect);
    else saveSnapshot(store.disk, write.snapshot);
    recordSynced(next, store);
    if (write.type === 'snapshot')
      handleEvent(next, store, { type: 'compacted', header: write.snapshot.header });
    else if (next.mutation !== 'acknowledgeBeforeSync') {
      handleEvent(next, store, { type: 'persisted', batch: write.effect.batch });
    }
  });
  return finishStep(next, store);
}

/** Stops a store; its pending writes are lost. */
export function crash(cluster: ModelCluster, instance: string): ModelCluster {
  const [next, store] = copyForStep(cluster, instance);
  store.state = undefined;
  store.pendingWrites = [];
  store.applied = [];
  return finishStep(next, store);
}

/** Starts a stopped store from its disk and counts a new run. */
export function restart(cluster: ModelCluster, instance: string): ModelCluster {
  const [next, store] = copyForStep(cluster, instance);
  const { disk, identity } = store;
  disk.runs += 1;
  const run = { count: disk.runs, token: `${identity}-${disk.runs}` };
  store.state = createConsensusState(
    cluster.settings,
    {
      self: { instance, identity, run },
      term: disk.term,
      votedFor: cluster.mutation === 'voteForgotten' ? undefined : disk.votedFor,
      snapshot: disk.snapshot?.header,
      entries: structuredClone(disk.entries),
    },
    instance.charCodeAt(0) * 31 + disk.runs,
  );
  store.applied =
    disk.snapshot === undefined
      ? []
      : (JSON.parse(Buffer.from(disk.snapshot.data).toString()) as string[]);
  handleEvent(next, store, { type: 'started' });
  return finishStep(next, store);
}

/** Replaces the disk of a stopped store by an empty one with a new identity. */
export function loseDisk(cluster: ModelCluster, instance: string): ModelCluster {
  const [next, store] = copyForStep(cluster, instance);
  store.disk = {
    ...makeEmptyDisk(),
    runs: cluster.mutation === 'lostDiskKeepsIdentity' ? store.disk.runs : 0,
  };
  if (cluster.mutation !== 'lostDiskKeepsIdentity') store.identity = `${store.identity}'`;
  return finishStep(next, store);
}

export function propose(cluster: ModelCluster, instance: string): ModelCluster {
  const requestId = `write-${cluster.requestCount}`;
  const withRequest = { ...cluster, requestCount: cluster.requestCount + 1 };
  const proposals = [{ requestId, command: requestId }];
  return dispatchEvent(withRequest, instance, { type: 'propose', proposals });
}

export function read(cluster: ModelCluster, instance: string): ModelCluster {
  const requestId = `read-${cluster.requestCount}`;
  const withRequest = {
    ...cluster,
    requestCount: cluster.requestCount + 1,
    minIndexByReadId: { ...cluster.minIndexByReadId, [requestId]: cluster.acknowledgedIndex },
  };
  return dispatchEvent(withRequest, instance, { type: 'read', requestId });
}

export interface ModelClusterOptions {
  readonly voters: readonly string[];
  /** Instances that run with empty disks and are not members yet. */
  readonly nonMembers?: readonly string[];
  readonly settings?: Partial<ConsensusSettings>;
  readonly mutation?: ShellMutation;
}

/** Starts a cluster; the disk of each voter holds the founding membership. */
export function makeCluster(options: ModelClusterOptions): ModelCluster {
  const settings = { ...defaultConsensusSettings, cluster: 'test', ...options.settings };
  const members: Member[] = options.voters.map((instance) => ({
    identity: `${instance}1`,
    role: 'voter',
    address: makeAddress(instance),
  }));
  const header = { index: 0, term: 0, at: 0, membership: { members } };
  const foundingSnapshot = { header, data: new Uint8Array(Buffer.from('[]')) };
  const makeStore = (instance: string, isMember: boolean): ModelStore => ({
    instance,
    identity: `${instance}1`,
    now: 0,
    disk: isMember ? { ...makeEmptyDisk(), snapshot: foundingSnapshot } : makeEmptyDisk(),
    pendingWrites: [],
    applied: [],
    key: '',
  });
  const stores = Object.fromEntries([
    ...options.voters.map((instance) => [instance, makeStore(instance, true)] as const),
    ...(options.nonMembers ?? []).map(
      (instance) => [instance, makeStore(instance, false)] as const,
    ),
  ]);
  const cluster: ModelCluster = {
    settings,
    mutation: options.mutation,
    voters: stores,
    network: [],
    leaderByTerm: {},
    committed: [],
    acknowledgedIndex: 0,
    minIndexByReadId: {},
    answeredReadCount: 0,
    restoreCount: 0,
    requestCount: 0,
    lastSyncedKeysByIdentity: {},
  };
  return Object.keys(stores).reduce((next, instance) => restart(next, instance), cluster);
}

/** Makes the key by which the explorer identifies the state of a cluster. */
export function makeClusterKey(cluster: ModelCluster): string {
  const messages = cluster.network.map((message) => message.key).sort();
  const storeKeys = Object.values(cluster.voters).map((store) => store.key);
  const { leaderByTerm, committed, acknowledgedIndex, minIndexByReadId, requestCount } = cluster;
  return [
    ...storeKeys,
    ...messages,
    JSON.stringify([leaderByTerm, committed, acknowledgedIndex, minIndexByReadId, requestCount]),
  ].join('\n');
}

/** Finds the running leader of the highest term. */
export function findLeader(cluster: ModelCluster): ModelStore | undefined {
  return Object.values(cluster.voters)
    .filter((store) => store.state?.role.type === 'leader')
    .sort((a, b) => (b.state?.term ?? 0) - (a.state?.term ?? 0))[0];
}

/** Delivers messages in order and syncs disks until nothing is pending, for `maxSteps` at most. */
export function runUntilIdle(start: ModelCluster, maxSteps = 2000): ModelCluster {
  let cluster = start;
  for (let step = 0; step < maxSteps; step += 1) {
    const storeWithWrites = Object.values(cluster.voters).find(
      (store) => store.state !== undefined && store.pendingWrites.length > 0,
    );
    const [message] = cluster.network;
    if (storeWithWrites !== undefined) cluster = syncDisk(cluster, storeWithWrites.instance, 1);
    else if (message !== undefined) cluster = deliver(cluster, message);
    else return cluster;
  }
  return cluster;
}
