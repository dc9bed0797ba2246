/**
 * A cluster of real reducers as one value, for the explorer and for random schedules. Disks keep
 * only what was synced, messages wait in a bag from which any may come next, and each step copies
 * only the voter it touches. What the voters do is compared with what all of them did before.
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

/** Faults of the shell that a test puts in to see the checks notice. */
export type ShellMutation = 'acknowledgeBeforeSync' | 'voteForgotten' | 'lostDiskKeepsIdentity';

type DiskJob =
  | { readonly type: 'batch'; readonly effect: PersistEffect }
  | { readonly type: 'snapshot'; readonly snapshot: SavedSnapshot };

export interface ModelVoter {
  readonly instance: string;
  identity: string;
  now: number;
  /** Missing while the process is down. */
  state?: ConsensusState;
  disk: ModelDisk;
  pendingWrites: DiskJob[];
  /** The state machine: what was applied, in order. */
  applied: string[];
  key: string;
}

export interface ModelMessage {
  readonly instance: string;
  readonly envelope: Envelope;
  readonly key: string;
}

export interface ModelCluster {
  readonly settings: ConsensusSettings;
  readonly mutation?: ShellMutation;
  readonly voters: Readonly<Record<string, ModelVoter>>;
  readonly network: readonly ModelMessage[];
  readonly leaderByTerm: Readonly<Record<number, string>>;
  /** Every entry that any voter has applied, from index 1 on. */
  readonly committed: readonly string[];
  readonly acknowledgedIndex: number;
  /** Reads under way, and the index that was acknowledged when they began. */
  readonly minIndexByReadId: Readonly<Record<string, number>>;
  readonly answeredReadCount: number;
  /** Snapshots that voters have taken over from others. */
  readonly restoreCount: number;
  readonly requestCount: number;
  /** What each disk ever had synced at an index, by identity; it outlives the disk. */
  readonly everSynced: Readonly<Record<string, readonly string[]>>;
  readonly violation?: string;
}

type Changes = { -readonly [Name in keyof ModelCluster]: ModelCluster[Name] };

export function makeAddress(instance: string) {
  return { instance, dataCentre: 'wien-a', host: '127.0.0.1', port: 1 };
}

function copyVoter(voter: ModelVoter): ModelVoter {
  return {
    ...voter,
    ...(voter.state === undefined ? {} : { state: copyState(voter.state) }),
    disk: { ...voter.disk, entries: [...voter.disk.entries] },
    pendingWrites: [...voter.pendingWrites],
    applied: [...voter.applied],
  };
}

function nameVoter({ identity, state, disk, pendingWrites: jobs, applied }: ModelVoter): string {
  const waiting = jobs.map((job) =>
    job.type === 'batch' ? makeBatchKey(job.effect) : `snapshot ${job.snapshot.header.index}`,
  );
  const stored = disk.entries.map((entry) => `${entry.index}=${makeEntryKey(entry)}`);
  const { runs, term, votedFor, snapshot } = disk;
  const onDisk = [runs, term, votedFor, snapshot?.header.index, stored.join('|')].join();
  const live = state === undefined ? 'down' : makeStateKey(state);
  return [identity, live, onDisk, waiting.join('|'), applied.length].join('#');
}

function changed(cluster: ModelCluster, instance: string): [Changes, ModelVoter] {
  const found = cluster.voters[instance];
  if (found === undefined) throw new Error(`No voter ${instance}`);
  const voter = copyVoter(found);
  return [{ ...cluster, voters: { ...cluster.voters, [instance]: voter } }, voter];
}

function violate(cluster: Changes, reason: string): void {
  cluster.violation ??= reason;
}

function noteCommitted(cluster: Changes, index: number, name: string): void {
  const known = cluster.committed[index - 1];
  if (known === name) return;
  if (known !== undefined) {
    violate(cluster, `index ${index} was committed as ${known} and as ${name}`);
    return;
  }
  if (index !== cluster.committed.length + 1) violate(cluster, `index ${index} leaves a gap`);
  cluster.committed = [...cluster.committed, name];
}

/** An entry counts as committed only if a quorum of the voters has had it on disk. */
function checkCopies(cluster: Changes, voter: ModelVoter, index: number, name: string): void {
  if (voter.state?.role.type !== 'leader') return;
  const voters = votersOf(voter.state);
  const copies = voters.filter(({ identity }) => cluster.everSynced[identity]?.[index] === name);
  if (copies.length * 2 <= voters.length) {
    violate(cluster, `index ${index} was committed with ${copies.length} copies on disk`);
  }
}

function checkNewLeader(cluster: Changes, voter: ModelVoter, term: number): void {
  const known = cluster.leaderByTerm[term];
  if (known !== undefined && known !== voter.identity) violate(cluster, `two leaders in ${term}`);
  cluster.leaderByTerm = { ...cluster.leaderByTerm, [term]: voter.identity };
  const { state } = voter;
  if (state === undefined) return;
  cluster.committed.forEach((name, position) => {
    const index = position + 1;
    if (index <= state.log.base.index) return;
    const entry = entryAt(state, index);
    if (entry === undefined || makeEntryKey(entry) !== name) {
      violate(cluster, `the leader of term ${term} lacks the committed index ${index}`);
    }
  });
}

function noteSynced(cluster: Changes, voter: ModelVoter): void {
  const names = [...(cluster.everSynced[voter.identity] ?? [])];
  const { snapshot, entries } = voter.disk;
  if (snapshot !== undefined) {
    const applied = JSON.parse(Buffer.from(snapshot.data).toString()) as string[];
    applied.forEach((name, position) => {
      names[position + 1] = name;
    });
  }
  entries.forEach((entry) => {
    names[entry.index] = makeEntryKey(entry);
  });
  cluster.everSynced = { ...cluster.everSynced, [voter.identity]: names };
}

function carryOut(cluster: Changes, voter: ModelVoter, effect: ConsensusEffect): void {
  switch (effect.type) {
    case 'persist':
      voter.pendingWrites.push({ type: 'batch', effect });
      if (cluster.mutation === 'acknowledgeBeforeSync') {
        handle(cluster, voter, { type: 'persisted', batch: effect.batch });
      }
      break;
    case 'send':
      send(cluster, effect.instance, effect.envelope);
      break;
    case 'sendSnapshot': {
      const { snapshot } = voter.disk;
      const envelope = snapshot && fillSnapshotPart(effect, snapshot);
      if (envelope !== undefined) send(cluster, effect.instance, envelope);
      break;
    }
    case 'apply': {
      const name = makeEntryKey(effect.entry);
      if (effect.index !== voter.applied.length + 1) violate(cluster, 'applied out of order');
      voter.applied.push(name);
      const first = effect.index > cluster.committed.length;
      noteCommitted(cluster, effect.index, name);
      if (first) checkCopies(cluster, voter, effect.index, name);
      break;
    }
    case 'restore': {
      cluster.restoreCount += 1;
      voter.applied = JSON.parse(Buffer.from(effect.data).toString()) as string[];
      if (voter.applied.length !== effect.header.index) violate(cluster, 'snapshot of other size');
      voter.applied.forEach((name, position) => noteCommitted(cluster, position + 1, name));
      break;
    }
    case 'takeSnapshot': {
      const data = new Uint8Array(Buffer.from(JSON.stringify(voter.applied)));
      voter.pendingWrites.push({ type: 'snapshot', snapshot: { header: effect.header, data } });
      break;
    }
    case 'reply': {
      const { outcome, requestId } = effect;
      if (outcome.type === 'committed') {
        cluster.acknowledgedIndex = Math.max(cluster.acknowledgedIndex, outcome.index);
      }
      if (outcome.type === 'readable') {
        const floor = cluster.minIndexByReadId[requestId] ?? 0;
        cluster.answeredReadCount += 1;
        if (voter.applied.length < floor) {
          violate(cluster, `a read missed index ${floor}, acknowledged before it began`);
        }
      }
      break;
    }
    case 'roleChanged':
      if (effect.role === 'leader') checkNewLeader(cluster, voter, effect.term);
      break;
    default:
  }
}

function send(cluster: Changes, instance: string, envelope: Envelope): void {
  const message = { instance, envelope, key: makeEnvelopeKey(envelope) };
  cluster.network = [...cluster.network, message];
}

type Untimed<Event> = Event extends ConsensusEvent ? Omit<Event, 'now' | 'wallNow'> : never;
export type ModelEvent = Untimed<ConsensusEvent>;

function handle(cluster: Changes, voter: ModelVoter, event: ModelEvent): void {
  const { state, now } = voter;
  if (state === undefined) return;
  const votersBefore = votersOf(state).map((member) => member.identity);
  try {
    const effects = reduceConsensus(state, { ...event, now, wallNow: now });
    effects.forEach((effect) => carryOut(cluster, voter, effect));
  } catch (error) {
    violate(cluster, String(error));
  }
  checkNewVoters(cluster, state, votersBefore);
}

/** A disk that is made a voter already holds everything that its leader knows to be committed. */
function checkNewVoters(cluster: Changes, state: ConsensusState, before: readonly string[]): void {
  if (state.role.type !== 'leader' || before.length === 0) return;
  votersOf(state)
    .filter(({ identity }) => !before.includes(identity))
    .forEach(({ identity }) => {
      const synced = cluster.everSynced[identity] ?? [];
      const missing = cluster.committed
        .slice(0, state.commitIndex)
        .some((name, position) => synced[position + 1] !== name);
      if (missing) violate(cluster, `${identity} became a voter before it had caught up`);
    });
}

function finish(cluster: Changes, voter: ModelVoter): ModelCluster {
  voter.key = nameVoter(voter);
  return cluster;
}

/** Hands one event to one voter. */
export function dispatchEvent(
  cluster: ModelCluster,
  instance: string,
  event: ModelEvent,
): ModelCluster {
  const [next, voter] = changed(cluster, instance);
  handle(next, voter, event);
  return finish(next, voter);
}

/** Lets a message arrive, or a copy of it if `keep`. A voter's patience is taken to be over. */
export function deliver(
  cluster: ModelCluster,
  message: ModelMessage,
  keep = false,
  patient = false,
): ModelCluster {
  const [next, voter] = changed(cluster, message.instance);
  if (!keep) next.network = cluster.network.filter((other) => other !== message);
  const { state } = voter;
  if (!patient && state !== undefined && message.envelope.message.type === 'voteRequest') {
    voter.now = Math.max(voter.now, state.voteAfter);
  }
  handle(next, voter, { type: 'received', envelope: message.envelope });
  return finish(next, voter);
}

/** Lets a voter's timer fire, as soon as it is due. */
export function fireTimer(cluster: ModelCluster, instance: string): ModelCluster {
  const [next, voter] = changed(cluster, instance);
  voter.now = Math.max(voter.now, voter.state?.wakeAt ?? 0);
  handle(next, voter, { type: 'timerFired' });
  return finish(next, voter);
}

/** Lets a voter's clock run, and fires its timer if it is due then. */
export function advanceClock(cluster: ModelCluster, instance: string, span: number): ModelCluster {
  const [next, voter] = changed(cluster, instance);
  voter.now += span;
  if (voter.state !== undefined && voter.now >= voter.state.wakeAt) {
    handle(next, voter, { type: 'timerFired' });
  }
  return finish(next, voter);
}

/** Syncs the first `count` writes that wait. */
export function syncDisk(cluster: ModelCluster, instance: string, count: number): ModelCluster {
  const [next, voter] = changed(cluster, instance);
  voter.pendingWrites.splice(0, count).forEach((job) => {
    if (job.type === 'batch') writeBatch(voter.disk, job.effect);
    else saveSnapshot(voter.disk, job.snapshot);
    noteSynced(next, voter);
    if (job.type === 'snapshot')
      handle(next, voter, { type: 'compacted', header: job.snapshot.header });
    else if (next.mutation !== 'acknowledgeBeforeSync') {
      handle(next, voter, { type: 'persisted', batch: job.effect.batch });
    }
  });
  return finish(next, voter);
}

export function crash(cluster: ModelCluster, instance: string): ModelCluster {
  const [next, voter] = changed(cluster, instance);
  voter.state = undefined;
  voter.pendingWrites = [];
  voter.applied = [];
  return finish(next, voter);
}

export function restart(cluster: ModelCluster, instance: string): ModelCluster {
  const [next, voter] = changed(cluster, instance);
  const { disk, identity } = voter;
  disk.runs += 1;
  const run = { count: disk.runs, token: `${identity}-${disk.runs}` };
  voter.state = createConsensusState(
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
  voter.applied =
    disk.snapshot === undefined
      ? []
      : (JSON.parse(Buffer.from(disk.snapshot.data).toString()) as string[]);
  handle(next, voter, { type: 'started' });
  return finish(next, voter);
}

/** A stopped voter's disk is replaced by an empty one, which has an identity of its own. */
export function loseDisk(cluster: ModelCluster, instance: string): ModelCluster {
  const [next, voter] = changed(cluster, instance);
  voter.disk = {
    ...makeEmptyDisk(),
    runs: cluster.mutation === 'lostDiskKeepsIdentity' ? voter.disk.runs : 0,
  };
  if (cluster.mutation !== 'lostDiskKeepsIdentity') voter.identity = `${voter.identity}'`;
  return finish(next, voter);
}

export function propose(cluster: ModelCluster, instance: string): ModelCluster {
  const requestId = `write-${cluster.requestCount}`;
  const counted = { ...cluster, requestCount: cluster.requestCount + 1 };
  const proposals = [{ requestId, command: requestId }];
  return dispatchEvent(counted, instance, { type: 'propose', proposals });
}

export function read(cluster: ModelCluster, instance: string): ModelCluster {
  const requestId = `read-${cluster.requestCount}`;
  const counted = {
    ...cluster,
    requestCount: cluster.requestCount + 1,
    minIndexByReadId: { ...cluster.minIndexByReadId, [requestId]: cluster.acknowledgedIndex },
  };
  return dispatchEvent(counted, instance, { type: 'read', requestId });
}

export interface ModelClusterOptions {
  readonly voters: readonly string[];
  /** Instances that run, but are no members yet. */
  readonly nonMembers?: readonly string[];
  readonly settings?: Partial<ConsensusSettings>;
  readonly mutation?: ShellMutation;
}

/** A cluster whose voters have just started, with a founding membership on every disk. */
export function makeCluster(options: ModelClusterOptions): ModelCluster {
  const settings = { ...defaultConsensusSettings, cluster: 'test', ...options.settings };
  const members: Member[] = options.voters.map((instance) => ({
    identity: `${instance}1`,
    role: 'voter',
    address: makeAddress(instance),
  }));
  const header = { index: 0, term: 0, at: 0, membership: { members } };
  const founded = { header, data: new Uint8Array(Buffer.from('[]')) };
  const makeVoter = (instance: string, isMember: boolean): ModelVoter => ({
    instance,
    identity: `${instance}1`,
    now: 0,
    disk: isMember ? { ...makeEmptyDisk(), snapshot: founded } : makeEmptyDisk(),
    pendingWrites: [],
    applied: [],
    key: '',
  });
  const voters = Object.fromEntries([
    ...options.voters.map((instance) => [instance, makeVoter(instance, true)] as const),
    ...(options.nonMembers ?? []).map(
      (instance) => [instance, makeVoter(instance, false)] as const,
    ),
  ]);
  const cluster: ModelCluster = {
    settings,
    mutation: options.mutation,
    voters,
    network: [],
    leaderByTerm: {},
    committed: [],
    acknowledgedIndex: 0,
    minIndexByReadId: {},
    answeredReadCount: 0,
    restoreCount: 0,
    requestCount: 0,
    everSynced: {},
  };
  return Object.keys(voters).reduce((next, instance) => restart(next, instance), cluster);
}

/** Names a cluster's state, for the explorer. */
export function makeClusterKey(cluster: ModelCluster): string {
  const messages = cluster.network.map((message) => message.key).sort();
  const voters = Object.values(cluster.voters).map((voter) => voter.key);
  const {
    leaderByTerm: leaders,
    committed,
    acknowledgedIndex,
    minIndexByReadId: reads,
    requestCount: requests,
  } = cluster;
  return [
    ...voters,
    ...messages,
    JSON.stringify([leaders, committed, acknowledgedIndex, reads, requests]),
  ].join('\n');
}

export function findLeader(cluster: ModelCluster): ModelVoter | undefined {
  return Object.values(cluster.voters)
    .filter((voter) => voter.state?.role.type === 'leader')
    .sort((a, b) => (b.state?.term ?? 0) - (a.state?.term ?? 0))[0];
}

/** Lets everything run without faults until nothing is left to do. */
export function runUntilIdle(start: ModelCluster, mostSteps = 2000): ModelCluster {
  let cluster = start;
  for (let step = 0; step < mostSteps; step += 1) {
    const waiting = Object.values(cluster.voters).find(
      (voter) => voter.state !== undefined && voter.pendingWrites.length > 0,
    );
    const [message] = cluster.network;
    if (waiting !== undefined) cluster = syncDisk(cluster, waiting.instance, 1);
    else if (message !== undefined) cluster = deliver(cluster, message);
    else return cluster;
  }
  return cluster;
}
