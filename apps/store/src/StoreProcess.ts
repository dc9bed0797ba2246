/**
 * One running store: it drives the reducer of the agreement, keeps its disk, applies what is
 * agreed to the tables, claims and leases, and answers clients.
 */
import { Encoder } from 'cbor-x';
import {
  EventLoop,
  Logger,
  Metrics,
  type RunningProcess,
  type TimerService,
  type Unsubscribe,
} from '@hornbeampond/runtime';
import {
  HornbeampondError,
  assertNever,
  type CommandResult,
  type EntryReport,
  type StampedCommand,
  type StoreAddress,
  type StoreCommand,
  type StoreRequest,
  type StoreSettings,
  type StoreStatus,
} from '@hornbeampond/schema';
import {
  MachineState,
  applyCommand,
  createConsensusState,
  currentMembership,
  defaultConsensusSettings,
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
import { ConfigurationPublisher } from './ConfigurationPublisher.js';
import { DiskOperations } from './DiskOperations.js';
import { describeMembers, describeStore } from './describeStore.js';
import { InstanceListCache } from './InstanceListCache.js';
import { JoinRequests } from './JoinRequests.js';
import { LeaderWatch } from './LeaderWatch.js';
import { PendingRequests } from './PendingRequests.js';
import { PersistedEntryState } from './PersistedEntryState.js';
import { OperatorRequestHandler } from './OperatorRequestHandler.js';
import { WorkReportBatcher } from './WorkReportBatcher.js';
import { StorePeers } from './StorePeers.js';
import { StoreRequestHandler } from './StoreRequestHandler.js';
import { Subscribers } from './Subscribers.js';
import type { DiskContents, StoreDisk } from './StoreDisk.js';

const codec = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });

/** What happens to a store, without the clocks. */
export type ConsensusEventPayload = ConsensusEvent extends infer Event
  ? Event extends { now: number; wallNow: number }
    ? Omit<Event, 'now' | 'wallNow'>
    : never
  : never;

/**
 * Why a store cannot go on. `diskRefused`: a peer has shown that the disk is older than what it
 * promised; it needs a new identity. `unexpectedError`: a step was not carried out to its end, and
 * going on could give callers two histories.
 */
export type StoreFailure = 'diskRefused' | 'unexpectedError';

export interface StorePorts {
  readonly peers: number;
  readonly operators: number;
}

export class StoreProcess implements RunningProcess {
  private readonly logger: Logger;

  readonly metrics = new Metrics({ withProcessMetrics: true });

  private readonly server: PeerServer;

  private readonly operators: OperatorServer;

  private readonly peers: StorePeers;

  private readonly desk = new PendingRequests();

  private readonly subscribers = new Subscribers();

  private loop!: EventLoop<ConsensusState, ConsensusEvent, ConsensusEffect>;

  private machine = new MachineState();

  /** Results of commands of this step, until their replies have been sent. */
  private readonly results = new Map<number, CommandResult>();

  private readonly disk: DiskOperations;

  private readonly joining: JoinRequests;

  private readonly requests: StoreRequestHandler;

  private address: StoreAddress;

  private cancelWake: Unsubscribe = () => {};

  private readonly leaderWatch: LeaderWatch;

  private readonly publisher: ConfigurationPublisher;

  private readonly memory: PersistedEntryState;

  private readonly work: WorkReportBatcher;

  private closed = false;

  /** True once a step was not carried out to its end. */
  private failed = false;

  constructor(
    private readonly settings: StoreSettings,
    private readonly timers: TimerService,
    private readonly storage: StoreDisk,
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
    this.leaderWatch = new LeaderWatch({
      timers,
      electionTimeout: settings.electionTimeoutMilliseconds,
      onLeaderTimeout: () => {
        this.subscribers.push({ type: 'outOfTouch' });
        this.joining.start();
      },
    });
    this.publisher = new ConfigurationPublisher({
      timers,
      metrics: this.metrics,
      subscribers: this.subscribers,
      readMachine: () => this.machine,
    });
    this.work = new WorkReportBatcher(timers, this.subscribers);
    this.memory = new PersistedEntryState({ disk: storage, timers, logger: this.logger });
    this.peers = new StorePeers(instance, context, settings.stores);
    this.disk = new DiskOperations({
      disk: storage,
      timers,
      logger: this.logger,
      dispatch: (occurrence) => this.dispatch(occurrence),
      send: (store, envelope) => this.peers.send(store, envelope),
    });
    this.joining = new JoinRequests({
      timers,
      peers: this.peers,
      isNeeded: () => this.needsLetIn(),
      describeSelf: () => ({ ...this.address, identity: this.loop.state.self.identity }),
    });
    this.requests = new StoreRequestHandler({
      timers,
      pendingRequests: this.desk,
      subscribers: this.subscribers,
      readState: () => this.loop.state,
      readMachine: () => this.machine,
      readStatus: () => this.readStatus(),
      dispatch: (occurrence) => this.dispatch(occurrence),
      onEntryReport: (report) => {
        this.memory.recordReport(report);
        onEntryReport(report);
      },
      instanceList: new InstanceListCache(timers),
      onWorkReport: (work) => {
        this.memory.recordWork(work);
        this.work.add(work);
      },
      onSpendingReport: (spending) => this.memory.recordSpending(spending),
      onInstanceList: (instances) => this.memory.removeUnlistedInstances(instances),
      readPersistedEntryState: () => this.memory.contents,
      leastVoters: settings.leastVoters,
    });
    this.server = new PeerServer(context, {
      onOpen: ({ peer }) => this.peers.reconnectNow(peer.instance),
      onPush: (session, body) => this.receive(session, body as Envelope),
      onRequest: (session, body, respond) =>
        this.requests.handle(session, body as StoreRequest, respond),
      onClose: (session) => this.requests.removeSession(session),
    });
    const operations = new OperatorRequestHandler({
      operatorKeys: settings.operatorKeys,
      foundCluster: () => this.foundCluster(),
      requestJoin: () => this.joining.start(),
      removeStore: async (removed) => this.requests.removeVoter(removed),
    });
    this.operators = new OperatorServer({
      metrics: this.metrics,
      isReady: () => leaderHint(this.loop.state) !== undefined,
      readStatus: async () => ({ stores: [this.readStatus()] }),
      handle: async (request, response, url) => operations.handle(request, response, url),
    });
  }

  /** Reads the disk and starts to serve. */
  async start(): Promise<StorePorts> {
    const contents = await this.storage.open(this.settings.instance);
    this.isNew = contents.isNew;
    this.loop = this.makeLoop(contents);
    await this.memory.open();
    const peers = await this.server.listen(this.settings.listen);
    this.address = { ...this.address, port: peers };
    const operators = await this.operators.listen(this.settings.operatorListen);
    this.peers.open();
    this.peers.updateMembers(memberAddresses(this.loop.state));
    this.dispatch({ type: 'started' });
    if (contents.isNew) this.joining.start();
    this.logger.write('processReady', { peers, operators });
    return { peers, operators };
  }

  /** True if the disk was empty at start. */
  isNew = false;

  /** Founds a cluster on this disk; refused unless the disk is empty. */
  foundCluster(): void {
    const { state } = this.loop;
    if (state.term > 0 || this.isMember()) {
      const detail = 'This store is part of a cluster already';
      throw new HornbeampondError('badRequest', detail);
    }
    this.joining.stop();
    this.dispatch({
      type: 'found',
      member: { identity: state.self.identity, address: this.address },
    });
  }

  /** Seeks the stores that changed settings name, beside the members of the log. */
  useStores(addresses: readonly StoreAddress[]): void {
    this.peers.setConfigured(addresses);
  }

  async shutDown(): Promise<void> {
    this.logger.write('shutdownStarted', {});
    await this.close();
    this.logger.write('shutdownFinished', {});
  }

  async close(): Promise<void> {
    this.closed = true;
    this.cancelWake();
    this.leaderWatch.stop();
    this.publisher.stop();
    this.memory.close();
    this.work.close();
    this.joining.stop();
    this.disk.stop();
    this.peers.close();
    await Promise.all([this.server.close(), this.operators.close()]);
    await this.disk.finish();
    await this.storage.close();
  }

  private makeLoop({ restored, snapshot }: DiskContents) {
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
      (effect) => this.carryOut(effect),
      (error, event) => this.reportError(error, event.type),
    );
  }

  private dispatch(occurrence: ConsensusEventPayload): void {
    if (this.closed || this.failed) return;
    const clocks = { now: this.timers.monotonicNow(), wallNow: this.timers.wallNow() };
    this.loop.dispatch({ ...occurrence, ...clocks });
    this.requests.answerEarlySubscriptions();
  }

  private receive(session: PeerSession, envelope: Envelope): void {
    if (session.peer.role === 'store') this.dispatch({ type: 'received', envelope });
  }

  private isMember(): boolean {
    const { state } = this.loop;
    return currentMembership(state).members.some(
      (member) => member.identity === state.self.identity,
    );
  }

  /**
   * True if no leader counts on this store. One that was cut off for long was taken out meanwhile, and
   * its own log does not say so: it would stand for election for ever. A disk that takes no writes is
   * not offered again.
   */
  private needsLetIn(): boolean {
    const { state } = this.loop;
    if (state.readOnly || state.diskRefused) return false;
    return !this.isMember() || leaderHint(state) === undefined;
  }

  private carryOut(effect: ConsensusEffect): void {
    // After an entry that was applied in part, replies to later ones would rest on a state that
    // no other store has. The process ends; nothing more leaves it until then.
    if (this.failed) return;
    switch (effect.type) {
      case 'persist':
        this.disk.persist(effect);
        return;
      case 'send':
        this.peers.send(effect.instance, effect.envelope);
        return;
      case 'sendSnapshot':
        this.disk.sendSnapshot(effect);
        return;
      case 'apply':
        this.apply(effect.entry);
        return;
      case 'restore': {
        const { revision } = this.machine.configuration;
        this.machine = restoreSnapshot(codec.decode(effect.data));
        this.publisher.publishSince(revision);
        return;
      }
      case 'takeSnapshot':
        this.disk.saveSnapshot({
          header: effect.header,
          data: codec.encode(takeSnapshot(this.machine)),
        });
        return;
      case 'discardLog':
        this.disk.discardLog(effect.throughIndex);
        return;
      case 'reply': {
        const index = effect.outcome.type === 'committed' ? effect.outcome.index : undefined;
        const result = index === undefined ? undefined : this.results.get(index);
        this.desk.complete(effect.requestId, effect.outcome, result);
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

  private apply(entry: LogEntry): void {
    if (entry.body.type !== 'command') return;
    const stamped: StampedCommand = {
      at: entry.at,
      command: entry.body.command as StoreCommand,
    };
    const { revision } = this.machine.configuration;
    const result = applyCommand(this.machine, stamped);
    this.results.clear();
    this.results.set(entry.index, result);
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

  private reportError(error: unknown, at: string): void {
    if (this.failed) return;
    this.failed = true;
    const reason = error instanceof Error ? (error.stack ?? error.message) : String(error);
    this.logger.write('unexpectedError', { at, reason });
    this.onFailure(this, 'unexpectedError');
  }
}
