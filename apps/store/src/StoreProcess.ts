/**
 * A running store. It drives the consensus reducer, carries out its effects on disk and network,
 * applies committed commands to the state machine, and serves clients, peers and operators. After an
 * unexpected error it carries out no further effect.
 */
import { Encoder } from 'cbor-x';
import {
  EventLoop,
  Logger,
  Metrics,
  describeError,
  type RunningProcess,
  type TimerService,
  type Unsubscribe,
} from '@hornbeampond/runtime';
import {
  HornbeampondError,
  assertNever,
  type CommandResult,
  type DigestAcknowledgement,
  type EntryReport,
  type KnownMembers,
  type MembersAnswer,
  type StampedCommand,
  type ProcessAddress,
  type StoreCommand,
  type StoreRequest,
  type StoreSettings,
  type StoreStatus,
  type Unsubscription,
} from '@hornbeampond/schema';
import {
  MachineState,
  applyCommand,
  canFound,
  createConsensusState,
  currentMembership,
  defaultConsensusSettings,
  hasCommittedInCurrentTerm,
  leaderHint,
  memberAddresses,
  reduceConsensus,
  restoreSnapshot,
  makeElectionSeed,
  takeSnapshot,
  type ConsensusEffect,
  type ConsensusEvent,
  type ConsensusState,
  type Envelope,
  type LogEntry,
} from '@hornbeampond/store-core';
import {
  OperatorServer,
  PeerServer,
  type PeerContext,
  type PeerSession,
} from '@hornbeampond/transport';
import { BacklogWatch } from './BacklogWatch.js';
import { ConfigurationPublisher } from './ConfigurationPublisher.js';
import { DiskOperations } from './DiskOperations.js';
import {
  describeClusterPart,
  describeKnownMembers,
  describeMembers,
  describeStore,
} from './describeStore.js';
import { EntryDigestPublisher } from './EntryDigestPublisher.js';
import { Founding, type FoundingOutcome } from './Founding.js';
import type { ClusterEvidence } from './decideFounding.js';
import { InstanceListCache } from './InstanceListCache.js';
import { JoinRequests } from './JoinRequests.js';
import { LeaderlessReports } from './LeaderlessReports.js';
import { LeaderWatch } from './LeaderWatch.js';
import { PendingRequests } from './PendingRequests.js';
import { PersistedEntryState } from './PersistedEntryState.js';
import { OperatorRequestHandler } from './OperatorRequestHandler.js';
import { StorePeers, makeOpenClient } from './StorePeers.js';
import { StoreRequestHandler } from './StoreRequestHandler.js';
import { Subscribers } from './Subscribers.js';
import type { DiskContents, StoreDisk } from './StoreDisk.js';

const codec = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });

/** A consensus event without the clock readings, which `dispatch` adds. */
export type ConsensusEventPayload = ConsensusEvent extends infer Event
  ? Event extends { now: number; wallNow: number }
    ? Omit<Event, 'now' | 'wallNow'>
    : never
  : never;

/** What other processes push to a store. */
type ReceivedPush = Envelope | Unsubscription | DigestAcknowledgement | MembersAnswer;

/** An operator's call is answered within this time, so that its caller has not given up. */
const OPERATOR_FOUNDING_MILLISECONDS = 3000;

/**
 * Why a store cannot continue. `diskRefused`: a peer has shown that the disk lacks data that this
 * store acknowledged, so it needs a new identity. `unexpectedError`: an event was not handled
 * completely, so the state may differ from that of the other stores. `diskRestored`: the disk has failed
 * a write and takes writes again; what this store holds in memory may be ahead of it.
 */
export type StoreFailure = 'diskRefused' | 'unexpectedError' | 'diskRestored';

export interface StorePorts {
  readonly peers: number;
  readonly operators: number;
}

export class StoreProcess implements RunningProcess {
  private readonly logger: Logger;

  readonly metrics = new Metrics({ withProcessMetrics: true });

  private readonly peerServer: PeerServer;

  private readonly operatorServer: OperatorServer;

  private readonly peers: StorePeers;

  private readonly pendingRequests = new PendingRequests();

  private readonly subscribers: Subscribers;

  private loop!: EventLoop<ConsensusState, ConsensusEvent, ConsensusEffect>;

  private machine = new MachineState();

  /** The result of the last applied command, by its log index. */
  private readonly resultsByIndex = new Map<number, CommandResult>();

  private readonly diskOperations: DiskOperations;

  private readonly joinRequests: JoinRequests;

  private readonly founding: Founding;

  private readonly requestHandler: StoreRequestHandler;

  private address: ProcessAddress;

  private cancelWake: Unsubscribe = () => {};

  private readonly leaderWatch: LeaderWatch;

  private readonly leaderlessReports: LeaderlessReports;

  /** Why a write to the disk failed last. */
  private diskFailure: string | undefined;

  private readonly publisher: ConfigurationPublisher;

  private readonly persistedEntryState: PersistedEntryState;

  private readonly digestPublisher: EntryDigestPublisher;

  private closed = false;

  /** True once an event was not handled completely. */
  private failed = false;

  constructor(
    private readonly settings: StoreSettings,
    private readonly timers: TimerService,
    private readonly disk: StoreDisk,
    private readonly onFailure: (store: StoreProcess, failure: StoreFailure) => void = () => {},
    onEntryReport: (report: EntryReport) => void = () => {},
  ) {
    const { instance, dataCentre, cluster, clusterSecret, listen } = settings;
    this.address = { instance, dataCentre, ...listen };
    this.logger = new Logger({ process: 'hornbeampond-store', instance }, settings.logLevel);
    const context: PeerContext = {
      identity: { cluster, instance, dataCentre, role: 'store' },
      secret: clusterSecret,
      timers,
      logger: this.logger,
      metrics: this.metrics,
      heartbeatMilliseconds: settings.peerHeartbeatMilliseconds,
    };
    this.subscribers = new Subscribers(new BacklogWatch(this.logger, this.metrics));
    this.leaderWatch = new LeaderWatch({
      timers,
      electionTimeout: settings.electionTimeoutMilliseconds,
      onLeaderTimeout: () => {
        this.subscribers.push({ type: 'outOfTouch' });
        this.joinRequests.start();
      },
    });
    this.leaderlessReports = new LeaderlessReports({
      timers,
      logger: this.logger,
      metrics: this.metrics,
      electionTimeout: settings.electionTimeoutMilliseconds,
      readPart: () =>
        describeClusterPart(this.loop.state, {
          connected: this.peers.connected,
          diskFailure: this.diskFailure,
          hasFailed: this.failed,
        }),
    });
    this.publisher = new ConfigurationPublisher({
      timers,
      metrics: this.metrics,
      subscribers: this.subscribers,
      readMachine: () => this.machine,
    });
    this.digestPublisher = new EntryDigestPublisher(timers, this.subscribers);
    this.persistedEntryState = new PersistedEntryState({
      disk,
      timers,
      logger: this.logger,
    });
    this.peers = new StorePeers({
      self: instance,
      configured: settings.stores,
      openClient: makeOpenClient(context),
      readMembers: () => describeKnownMembers(this.loop.state),
    });
    this.diskOperations = new DiskOperations({
      disk,
      timers,
      logger: this.logger,
      dispatch: (event) => this.dispatch(event),
      send: (store, envelope) => this.peers.send(store, envelope),
      onRestored: () => this.endAfterDiskFailure(),
    });
    this.joinRequests = new JoinRequests({
      timers,
      peers: this.peers,
      isNeeded: () => this.needsToJoin(),
      isComplete: () => this.hasJoined(),
      readOwnMembers: () => describeKnownMembers(this.loop.state),
      describeSelf: () => ({ ...this.address, identity: this.loop.state.self.identity }),
    });
    this.founding = new Founding({
      timers,
      logger: this.logger,
      toleratesLoss: settings.leastVoters > 1,
      listSeeds: () => this.peers.configuredClients,
      describeSelf: () => ({ instance, identity: this.loop.state.self.identity }),
      hasEarlierRun: () => this.loop.state.self.run.count > 1,
      findEvidence: () => this.findClusterEvidence(),
      foundCluster: () => this.foundCluster(),
      askConnectedStores: () => this.joinRequests.requestMembersFromAll(),
      onEnded: () => this.joinRequests.start(),
    });
    this.requestHandler = new StoreRequestHandler({
      timers,
      pendingRequests: this.pendingRequests,
      subscribers: this.subscribers,
      readState: () => this.loop.state,
      readMachine: () => this.machine,
      readStatus: () => this.readStatus(),
      answerCandidate: (candidate) => this.founding.answer(candidate),
      dispatch: (event) => this.dispatch(event),
      onEntryReport: (report) => {
        this.persistedEntryState.recordReport(report);
        onEntryReport(report);
      },
      instanceList: new InstanceListCache(timers),
      digestPublisher: this.digestPublisher,
      onWorkReport: (work) => this.persistedEntryState.recordWork(work),
      onSpendingReport: (spending) => this.persistedEntryState.recordSpending(spending),
      onInstanceList: (instances) => this.persistedEntryState.recordInstanceList(instances),
      readVersionHistory: () => this.persistedEntryState.versionHistory,
      readPersistedEntryState: (role) =>
        role === 'entry'
          ? this.persistedEntryState.contentsForEntries
          : this.persistedEntryState.contents,
      leastVoters: settings.leastVoters,
    });
    this.peerServer = new PeerServer(context, {
      onOpen: (session) => {
        this.peers.reconnectNow(session.peer.instance);
        if (session.peer.role === 'store') this.joinRequests.addSession(session);
      },
      onPush: (session, body) => this.receivePush(session, body as ReceivedPush),
      onRequest: (session, body, respond) =>
        this.requestHandler.handle(session, body as StoreRequest, respond),
      onClose: (session) => {
        this.joinRequests.removeSession(session);
        this.requestHandler.removeSession(session);
      },
    });
    const operatorRequests = new OperatorRequestHandler({
      operatorKeys: settings.operatorKeys,
      foundCluster: async () => this.founding.runFor(OPERATOR_FOUNDING_MILLISECONDS),
      requestJoin: () => this.joinRequests.start(),
      removeStore: async (removed) => this.requestHandler.removeVoter(removed),
    });
    this.operatorServer = new OperatorServer({
      metrics: this.metrics,
      isReady: () => !this.loop.state.readOnly && leaderHint(this.loop.state) !== undefined,
      readStatus: async () => ({ stores: [this.readStatus()] }),
      handle: async (request, response, url) => operatorRequests.handle(request, response, url),
    });
  }

  /** Reads the disk, listens and connects to the other stores. */
  async start(): Promise<StorePorts> {
    const contents = await this.disk.open(this.settings.instance);
    this.isNew = contents.isNew;
    this.wasUsed = contents.wasUsed;
    this.loop = this.makeEventLoop(contents);
    await this.persistedEntryState.open();
    const peers = await this.peerServer.listen(this.settings.listen);
    this.address = { ...this.address, port: peers };
    const operators = await this.operatorServer.listen(this.settings.operatorListen);
    this.peers.open();
    this.peers.updateMembers(memberAddresses(this.loop.state));
    this.dispatch({ type: 'started' });
    if (contents.isNew) this.joinRequests.start();
    this.leaderlessReports.start();
    this.logger.write('processReady', { peers, operators });
    return { peers, operators };
  }

  /** True if the disk was empty at start. */
  isNew = false;

  /** True if the disk may have been part of a cluster under another identity. */
  private wasUsed = false;

  /**
   * Founds a cluster if the other stores of the settings know none. Until that is decided this store does
   * not ask to join one: if it did, it could be a member of another cluster when it founds.
   */
  async foundIfNoneExists(): Promise<FoundingOutcome> {
    return this.founding.run();
  }

  private findClusterEvidence(): ClusterEvidence | undefined {
    const { state } = this.loop;
    if (currentMembership(state).members.length > 0 || !canFound(state)) return 'member';
    return this.wasUsed ? 'diskUsed' : undefined;
  }

  /**
   * Founds a cluster with this store as its only member, without asking others; throws if it has been part
   * of a cluster.
   */
  foundCluster(): void {
    const { state } = this.loop;
    if (this.findClusterEvidence() !== undefined) {
      const detail = 'This store is part of a cluster already';
      throw new HornbeampondError('badRequest', detail);
    }
    this.joinRequests.stop();
    this.dispatch({
      type: 'found',
      member: { identity: state.self.identity, address: this.address },
    });
  }

  /** Connects to the stores that changed settings name, beside the members listed in the log. */
  useStores(addresses: readonly ProcessAddress[]): void {
    this.peers.setConfigured(addresses);
  }

  async shutDown(): Promise<void> {
    this.logger.write('shutdownStarted', {});
    await this.close();
    this.logger.write('shutdownFinished', {});
  }

  async close(): Promise<void> {
    await Promise.all([this.closeServers(), this.closeDisk()]);
  }

  /** Stops all work and closes all connections; nothing is dispatched or written from then on. */
  async closeServers(): Promise<void> {
    this.closed = true;
    this.cancelWake();
    this.leaderWatch.stop();
    this.leaderlessReports.stop();
    this.publisher.stop();
    this.persistedEntryState.stop();
    this.digestPublisher.close();
    this.founding.stop();
    this.joinRequests.stop();
    this.diskOperations.stop();
    this.peers.close();
    await Promise.all([this.peerServer.close(), this.operatorServer.close()]);
  }

  /**
   * Waits for the writes under way and closes the disk, once `closeServers` was called. May be called
   * again after a failure.
   */
  async closeDisk(): Promise<void> {
    await this.persistedEntryState.finish();
    await this.diskOperations.finish();
    await this.disk.close();
  }

  private makeEventLoop({ restored, snapshot }: DiskContents) {
    if (snapshot !== undefined) this.machine = restoreSnapshot(codec.decode(snapshot.data));
    const { cluster, electionTimeoutMilliseconds, heartbeatMilliseconds } = this.settings;
    const { silentStoreMilliseconds, leastVoters } = this.settings;
    const state = createConsensusState(
      {
        ...defaultConsensusSettings,
        cluster,
        electionTimeout: electionTimeoutMilliseconds,
        heartbeatInterval: heartbeatMilliseconds,
        unreachableMemberTimeout: silentStoreMilliseconds,
        leastVoters,
      },
      restored,
      makeElectionSeed(restored.self),
    );
    return new EventLoop<ConsensusState, ConsensusEvent, ConsensusEffect>(
      state,
      reduceConsensus,
      (effect) => this.applyEffect(effect),
      (error, event) => this.reportError(error, event.type),
    );
  }

  private dispatch(event: ConsensusEventPayload): void {
    if (this.closed || this.failed) return;
    if (event.type === 'persistFailed') this.diskFailure = event.reason;
    const clocks = { now: this.timers.monotonicNow(), wallNow: this.timers.wallNow() };
    this.loop.dispatch({ ...event, ...clocks });
    this.requestHandler.answerEarlySubscriptions();
  }

  private receivePush(session: PeerSession, message: ReceivedPush): void {
    const isStore = session.peer.role === 'store';
    if (!('type' in message)) {
      if (isStore) this.receiveEnvelope(message);
      return;
    }
    switch (message.type) {
      case 'unsubscribe':
        this.requestHandler.unsubscribe(session);
        return;
      case 'digestApplied':
        this.requestHandler.acknowledgeDigest(session, message);
        return;
      case 'members':
        if (isStore) this.receiveMembers(message.members);
        return;
      default:
        // A message of a newer version.
        message satisfies never;
    }
  }

  private receiveEnvelope(envelope: Envelope): void {
    this.founding.recordMessage();
    this.dispatch({ type: 'received', envelope });
  }

  private receiveMembers(members: KnownMembers): void {
    this.founding.recordMembers(members);
    this.joinRequests.learn(members);
  }

  private isMember(): boolean {
    const { state } = this.loop;
    return currentMembership(state).members.some(
      (member) => member.identity === state.self.identity,
    );
  }

  /**
   * True if this store is not a member or knows no leader. A store that was unreachable for long may
   * have been removed; its own log does not say so, and it would campaign for ever. A store whose disk
   * is read-only or was refused does not join.
   */
  private needsToJoin(): boolean {
    const { state } = this.loop;
    if (state.readOnly || state.diskRefused || this.founding.isRunning) return false;
    return !this.isMember() || leaderHint(state) === undefined;
  }

  /**
   * True if this store is a member that follows a leader of the present term and has applied an entry
   * of it, so that the leader is among the members of its log.
   */
  private hasJoined(): boolean {
    const { state } = this.loop;
    return !this.needsToJoin() && this.isMember() && hasCommittedInCurrentTerm(state);
  }

  private applyEffect(effect: ConsensusEffect): void {
    // A partly applied log entry leaves a state that no other store has, so nothing that depends on it
    // may be sent or written before the process ends.
    if (this.failed) return;
    switch (effect.type) {
      case 'persist':
        this.diskOperations.persist(effect);
        return;
      case 'send':
        this.peers.send(effect.instance, effect.envelope);
        return;
      case 'sendSnapshot':
        this.diskOperations.sendSnapshot(effect);
        return;
      case 'apply':
        this.applyEntry(effect.entry);
        return;
      case 'restore': {
        const { revision } = this.machine.configuration;
        this.machine = restoreSnapshot(codec.decode(effect.data));
        this.publisher.publishSince(revision);
        return;
      }
      case 'takeSnapshot':
        this.diskOperations.saveSnapshot({
          header: effect.header,
          data: codec.encode(takeSnapshot(this.machine)),
        });
        return;
      case 'discardLog':
        this.diskOperations.discardLog(effect.throughIndex);
        return;
      case 'reply': {
        const index = effect.outcome.type === 'committed' ? effect.outcome.index : undefined;
        const result = index === undefined ? undefined : this.resultsByIndex.get(index);
        this.pendingRequests.complete(effect.requestId, effect.outcome, result);
        return;
      }
      case 'wake':
        this.cancelWake();
        this.cancelWake = this.timers.after(
          Math.max(0, effect.at - this.timers.monotonicNow()),
          () => this.dispatch({ type: 'timerFired' }),
        );
        return;
      case 'membershipChanged':
        this.peers.updateMembers(effect.membership.members.map((member) => member.address));
        this.subscribers.push({ type: 'stores', stores: memberAddresses(this.loop.state) });
        this.logger.write('storeMembersChanged', { ...describeMembers(this.loop.state) });
        return;
      case 'roleChanged':
        this.logger.write('storeRoleChanged', { ...effect });
        this.leaderWatch.recordLeader(effect.leader);
        return;
      case 'electionFailed':
        this.logger.write('storeElectionFailed', { ...effect });
        return;
      case 'silentMemberRemoved':
        this.logger.write('silentStoreRemoved', {
          store: effect.instance,
          silence: effect.silence,
          timeout: this.settings.silentStoreMilliseconds,
          leastVoters: this.settings.leastVoters,
        });
        return;
      case 'messageRefused':
        this.logger.write('storeMessageRefused', { from: effect.from, reason: effect.reason });
        return;
      case 'diskRefused':
        this.logger.write('diskRefused', { reason: effect.reason });
        this.onFailure(this, 'diskRefused');
        return;
      default:
        assertNever(effect);
    }
  }

  private applyEntry(entry: LogEntry): void {
    if (entry.body.type !== 'command') return;
    const stamped: StampedCommand = {
      at: entry.at,
      command: entry.body.command as StoreCommand,
    };
    const { revision } = this.machine.configuration;
    const result = applyCommand(this.machine, stamped);
    this.resultsByIndex.clear();
    this.resultsByIndex.set(entry.index, result);
    if (this.machine.configuration.revision > revision) this.publisher.publishSince(revision);
    if (result.type === 'crashCounted') this.publisher.publishQuarantine();
  }

  private readStatus(): StoreStatus {
    return describeStore({
      instance: this.settings.instance,
      state: this.loop.state,
      machine: this.machine,
      instances: this.subscribers.reports,
      wallNow: this.timers.wallNow(),
    });
  }

  /** Its supervisor starts it again, and it reads what the disk really holds. */
  private endAfterDiskFailure(): void {
    this.logger.write('diskRestored', {});
    this.onFailure(this, 'diskRestored');
  }

  private reportError(error: unknown, at: string): void {
    if (this.failed) return;
    this.failed = true;
    this.logger.write('unexpectedError', { at, reason: describeError(error) });
    this.onFailure(this, 'unexpectedError');
  }
}
