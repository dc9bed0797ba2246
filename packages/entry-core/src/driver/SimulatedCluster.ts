/**
 * Runs simulated entries and engines together in virtual time. Time advances in fixed steps, and
 * due tasks run by due time and then in the order in which they were scheduled, so runs are
 * deterministic.
 */
import {
  groupVersions,
  VersionHistory,
  type Configuration,
  type EntryReport,
  type PlatformInstance,
  type ReportCrashCommand,
  type StreamOrigin,
  type WorkReport,
} from '@hornbeampond/schema';
import type { CallerRequest, EntryEventPayload, Timestamps } from '../entryEvents.js';
import {
  SimulatedEntry,
  type CallerRecord,
  type SimulatedMoveAnswer,
  type SimulatedMoveOrder,
} from './SimulatedEntry.js';
import {
  SimulatedEngine,
  expectedAnswer,
  type EngineRates,
  type CrashTokenByDigest,
} from './SimulatedEngine.js';
import { SimulatedPaths } from './SimulatedPaths.js';
import { SimulatedReportStore } from './SimulatedReportStore.js';
import { makeConfiguration, defaultEngineRates } from './fixtures.js';

const STEP_MILLISECONDS = 10;
const TICK_MILLISECONDS = 50;
const FIND_ORIGIN_TIMEOUT_MILLISECONDS = 250;
const READ_LIST_MILLISECONDS = 20;
const READ_LIST_TIMEOUT_MILLISECONDS = 500;

/** For how long the store has received lists when a simulation starts. */
const EARLIER_HISTORY_MILLISECONDS = 3_600_000;

export interface SimulatedClusterOptions {
  /** Number of engines in each data centre. */
  readonly engines: Readonly<Record<string, number>>;
  /** Number of entries, distributed over the data centres in turn; 1 by default. */
  readonly entries?: number;
  readonly crashTokenByDigest?: CrashTokenByDigest;
  readonly rates?: Partial<EngineRates>;
  /** Whole-answer deadline of all routes; one minute by default. */
  readonly wholeAnswerMilliseconds?: number;
  /** First-token deadline of all routes; five seconds by default. */
  readonly firstTokenMilliseconds?: number;
  /** Pool of the engines; those of `bookings` act as plain services. */
  readonly pool?: 'engines' | 'bookings';
  /** True if hosts disappear with their engines: connections are not reset, and probes time out. */
  readonly enginesDieWithoutReset?: boolean;
  /** True if entries report to each other through a store instead of directly. */
  readonly reportsThroughStore?: boolean;
  /** Time between the digests of that store. */
  readonly digestDelayMilliseconds?: number;
  /** Tables of the entries, instead of those of `makeConfiguration`. */
  readonly configuration?: Configuration;
  /** False if entries do not divide contended capacity among priorities and workspaces. */
  readonly dividesCapacity?: boolean;
  /** Most queued requests of each entry; 1000 by default. */
  readonly maxQueuedRequests?: number;
  /** Software versions that the engines of each data centre have in turn; none by default. */
  readonly versions?: readonly string[];
  /** Time between the lists of the platform; if undefined, entries receive one after each change. */
  readonly listIntervalMilliseconds?: number;
}

/** What the stores answer an entry that asks where a stream began. */
type OriginAnswer = Omit<
  Extract<EntryEventPayload, { type: 'streamOriginAnswered' }>,
  'type' | 'requestId'
>;

interface Task {
  readonly dueAt: number;
  readonly run: () => void;
}

export class SimulatedCluster {
  readonly engines = new Map<string, SimulatedEngine>();

  readonly entries: SimulatedEntry[] = [];

  readonly paths = new SimulatedPaths(this);

  /** True makes every cache move fail. */
  movesFail = false;

  /** Decides how an order to move a KV cache is answered; by default after the time that it takes. */
  answerMove: ((order: SimulatedMoveOrder) => SimulatedMoveAnswer) | undefined;

  /** True if an order to move a KV cache stops the run, and its stream ends with the move. */
  movesStopRuns = false;

  /** False leaves every probe unanswered. */
  probesAnswered = true;

  /** False makes the store unreachable for all entries. */
  storeReachable = true;

  /** Messages in which entries told where streams began. */
  originMessages = 0;

  readonly reportStore: SimulatedReportStore | undefined;

  private readonly rates: EngineRates;

  private readonly crashTokenByDigest: CrashTokenByDigest;

  private readonly pool: string;

  private readonly losesHost: boolean;

  private readonly configuration: Configuration;

  private readonly makeEntry: (number: number) => SimulatedEntry;

  private now = 0;

  private readonly startedAt = Date.UTC(2026, 0, 15, 11);

  private tasks: Task[] = [];

  private platformInstances: PlatformInstance[] = [];

  private startingInstances: PlatformInstance[] = [];

  private readonly crashIdsByDigest = new Map<string, Set<string>>();

  private readonly streamOrigins = new Map<string, StreamOrigin>();

  /** The versions of servers as the store has recorded them on its disk. */
  private versionHistory = new VersionHistory();

  constructor(options: SimulatedClusterOptions) {
    this.rates = { ...defaultEngineRates, ...options.rates };
    this.crashTokenByDigest = options.crashTokenByDigest ?? new Map();
    this.pool = options.pool ?? 'engines';
    this.losesHost = options.enginesDieWithoutReset ?? false;
    this.reportStore =
      options.reportsThroughStore === true
        ? new SimulatedReportStore(this, options.digestDelayMilliseconds)
        : undefined;
    Object.entries(options.engines).forEach(([dataCentre, count]) => {
      for (let number = 1; number <= count; number += 1) {
        const version = options.versions?.[(number - 1) % options.versions.length];
        this.addEngine(`${dataCentre}-engine-${number}`, dataCentre, version);
      }
    });
    const earlier = { knownFor: EARLIER_HISTORY_MILLISECONDS, lastListAge: 0, pools: {} };
    this.versionHistory.adopt(earlier, this.now, { askedAt: this.now, isStarting: true });
    this.recordVersions();
    const dataCentres = Object.keys(options.engines);
    const configuration =
      options.configuration ??
      makeConfiguration(options.wholeAnswerMilliseconds ?? 60_000, options.firstTokenMilliseconds);
    this.makeEntry = (number) =>
      new SimulatedEntry(this, {
        instance: `entry-${number}`,
        dataCentre: dataCentres[(number - 1) % dataCentres.length] ?? '',
        dividesCapacity: options.dividesCapacity ?? true,
        maxQueuedRequests: options.maxQueuedRequests ?? 1000,
      });
    this.configuration = configuration;
    for (let number = 1; number <= (options.entries ?? 1); number += 1) {
      this.entries.push(this.startEntry(number));
    }
    const { listIntervalMilliseconds } = options;
    if (listIntervalMilliseconds !== undefined) this.scheduleLists(listIntervalMilliseconds);
  }

  /** Starts an entry that was killed anew, without anything that it knew. */
  restartEntry(position: number): void {
    this.entries[position] = this.startEntry(position + 1);
  }

  private startEntry(number: number): SimulatedEntry {
    const entry = this.makeEntry(number);
    entry.send({ type: 'configurationReceived', configuration: this.configuration });
    entry.send({ type: 'instancesListed', instances: this.listedInstances });
    this.sendVersionHistory(entry);
    return entry;
  }

  private sendVersionHistory(entry: SimulatedEntry): void {
    const { now, wallNow } = this.clock();
    const history = this.versionHistory.toMessage(now, wallNow);
    if (!this.storeReachable || history === undefined) return;
    const versions = { at: wallNow, history };
    const remembered = { usage: [], delays: {}, computed: {}, versions };
    entry.send({ type: 'knowledgeRemembered', remembered });
  }

  /** Simulates the store with an empty disk. */
  forgetVersions(): void {
    this.versionHistory = new VersionHistory();
  }

  private recordVersions(): void {
    const { now, wallNow } = this.clock();
    this.versionHistory.recordList(groupVersions(this.listedInstances), now, wallNow);
  }

  /** Adds an engine and lists it on the platform. */
  addEngine(instance: string, dataCentre: string, version?: string): void {
    const engine = this.makeEngine(instance, dataCentre, version);
    this.engines.set(instance, engine);
    this.platformInstances.push(this.describeInstance(engine));
    this.publishAliveEngines();
  }

  private makeEngine(instance: string, dataCentre: string, version?: string): SimulatedEngine {
    const engine = new SimulatedEngine(instance, dataCentre, this.rates, this.crashTokenByDigest);
    engine.version = version;
    engine.omitsReset = this.losesHost;
    engine.unreachableWhenDead = this.losesHost;
    return engine;
  }

  /**
   * Ends an engine and starts it again under its name, with another version or the same one. The first
   * list sent `listedAfter` later shows the version that it has now.
   */
  restartEngine(instance: string, version: string, listedAfter = 0): void {
    const { alive, dataCentre } = this.engine(instance);
    if (alive) this.engine(instance).die();
    const engine = this.makeEngine(instance, dataCentre, version);
    this.engines.set(instance, engine);
    const list = () => {
      this.platformInstances = this.platformInstances.map((listed) =>
        listed.instance === instance ? this.describeInstance(engine) : listed,
      );
    };
    if (listedAfter === 0) list();
    else this.schedule(listedAfter, list);
  }

  /** Lists an engine as starting, and adds it once it has started. */
  startEngine(instance: string, dataCentre: string, startDuration: number, version?: string): void {
    const engine = this.makeEngine(instance, dataCentre, version);
    this.startingInstances.push({ ...this.describeInstance(engine), state: 'starting' });
    this.sendList();
    this.schedule(startDuration, () => {
      this.startingInstances = this.startingInstances.filter(
        (other) => other.instance !== instance,
      );
      this.addEngine(instance, dataCentre, version);
    });
  }

  /** Removes dead engines from the list of the platform and sends the list to all entries. */
  publishAliveEngines(): void {
    this.platformInstances = this.platformInstances.filter(
      (platformInstance) => this.engines.get(platformInstance.instance)?.alive,
    );
    this.sendList();
  }

  private sendList(): void {
    const instances = this.listedInstances;
    // An entry that runs shares each list with the store.
    const sharing = this.entries.filter(
      ({ alive, reachesPlatform, reachesStores }) => alive && reachesPlatform && reachesStores,
    );
    if (this.storeReachable && sharing.length > 0) this.recordVersions();
    this.entries
      .filter(({ reachesPlatform }) => reachesPlatform)
      .forEach((entry) => entry.send({ type: 'instancesListed', instances }));
  }

  private scheduleLists(interval: number): void {
    this.schedule(interval, () => {
      this.sendList();
      this.scheduleLists(interval);
    });
  }

  get entry(): SimulatedEntry {
    return this.entryAt(0);
  }

  entryAt(position: number): SimulatedEntry {
    const entry = this.entries[position];
    if (entry === undefined) throw new Error(`no entry ${position}`);
    return entry;
  }

  engine(instance: string): SimulatedEngine {
    const engine = this.engines.get(instance);
    if (engine === undefined) throw new Error(`no engine ${instance}`);
    return engine;
  }

  clock(): Timestamps {
    return { now: this.now, wallNow: this.startedAt + this.now };
  }

  /** Runs a task after a delay in virtual time. */
  schedule(delayMilliseconds: number, run: () => void): void {
    this.tasks.push({ dueAt: this.now + delayMilliseconds, run });
  }

  advance(durationMilliseconds: number): void {
    const end = this.now + durationMilliseconds;
    while (this.now < end) this.step();
  }

  /** Runs until every caller has a final answer or the time-out has passed. */
  runUntilAnswered(timeoutMilliseconds = 120_000): void {
    const end = this.now + timeoutMilliseconds;
    while (this.now < end && this.callers().some(({ finalAnswers }) => finalAnswers.length === 0))
      this.step();
    this.advance(STEP_MILLISECONDS);
  }

  callers(): CallerRecord[] {
    return this.entries.flatMap((entry) => [...entry.callers.values()]);
  }

  /** Sends one entry a reclaim notice for these engines, which die when the notice ends. */
  reclaim(
    instances: readonly string[],
    noticeMilliseconds: number,
    entry: SimulatedEntry = this.entry,
  ): void {
    const goneAt = this.clock().wallNow + noticeMilliseconds;
    instances.forEach((instance) => {
      entry.send({ type: 'reclaimNoticed', instance, goneAt });
      this.schedule(noticeMilliseconds, () => this.engine(instance).die());
    });
  }

  /**
   * Marks these engines as leaving in one update of the platform list; they die when the notice
   * ends.
   */
  reclaimByPlatformList(instances: readonly string[], noticeMilliseconds: number): void {
    const goneAt = this.clock().wallNow + noticeMilliseconds;
    const leaving = new Set(instances);
    this.platformInstances = this.platformInstances.map((platformInstance) =>
      leaving.has(platformInstance.instance)
        ? { ...platformInstance, state: 'leaving', goneAt }
        : platformInstance,
    );
    this.sendList();
    instances.forEach((instance) =>
      this.schedule(noticeMilliseconds, () => this.engine(instance).die()),
    );
  }

  countLostEngines(): number {
    return [...this.engines.values()].filter(({ alive }) => !alive).length;
  }

  /** Disconnects the caller at this position among those without a final answer. */
  disconnectCaller(position: number): void {
    const caller = this.callers().filter(({ finalAnswers }) => finalAnswers.length === 0)[position];
    if (caller === undefined) return;
    caller.finalAnswers.push({ type: 'gone', at: this.now });
    const { requestId } = caller.request;
    this.entries.forEach((entry) => entry.send({ type: 'callerGone', requestId }));
  }

  /** Returns how many milliseconds it takes to move a KV cache of this size. */
  moveDuration(tokens: number): number {
    return 50 + tokens / 8;
  }

  deliverReport(from: SimulatedEntry, report: EntryReport): void {
    if (this.reportStore !== undefined) {
      this.reportStore.addReport(report);
      return;
    }
    this.entries
      .filter((entry) => entry !== from)
      .forEach((entry) => this.schedule(1, () => entry.send({ type: 'entryReported', report })));
  }

  deliverWorkReport(from: SimulatedEntry, work: WorkReport): void {
    if (this.reportStore !== undefined) {
      this.reportStore.addWork(work);
      return;
    }
    this.entries
      .filter((entry) => entry !== from)
      .forEach((entry) => this.schedule(1, () => entry.send({ type: 'workReported', work })));
  }

  /** Simulates a store that keeps where streams began. */
  keepOrigins(from: SimulatedEntry, origins: readonly StreamOrigin[]): void {
    this.originMessages += 1;
    if (!this.storeReachable || !from.reachesStores) return;
    this.schedule(1, () =>
      origins.forEach((origin) => this.streamOrigins.set(origin.requestId, origin)),
    );
  }

  /** Simulates that store starting anew. */
  forgetOrigins(): void {
    this.streamOrigins.clear();
  }

  /** Answers as that store does, or as none after the time that entries wait. */
  findOrigin(
    from: SimulatedEntry,
    requestId: string,
    onAnswer: (answer: OriginAnswer) => void,
  ): void {
    if (this.storeReachable && from.reachesStores) {
      this.schedule(2, () => {
        const { now, wallNow } = this.clock();
        const history = this.versionHistory.toMessage(now, wallNow);
        const histories = history === undefined ? [] : [history];
        onAnswer({ origin: this.streamOrigins.get(requestId), isConclusive: true, histories });
      });
      return;
    }
    this.schedule(FIND_ORIGIN_TIMEOUT_MILLISECONDS, () =>
      onAnswer({ origin: undefined, isConclusive: false, histories: [] }),
    );
  }

  /** Simulates an entry that reads the list of the platform, or waits for it in vain. */
  readList(from: SimulatedEntry): void {
    const readAt = this.now;
    if (from.reachesPlatform) {
      this.schedule(READ_LIST_MILLISECONDS, () =>
        from.send({ type: 'instancesListed', instances: this.listedInstances, readAt }),
      );
      return;
    }
    this.schedule(READ_LIST_TIMEOUT_MILLISECONDS, () =>
      from.send({ type: 'instancesUnread', readAt }),
    );
  }

  private get listedInstances(): readonly PlatformInstance[] {
    return [...this.platformInstances, ...this.startingInstances];
  }

  /** Simulates a store that quarantines a digest at the second different crash reported for it. */
  applyCrashReport({ crashId, digests }: ReportCrashCommand): void {
    if (!this.storeReachable) return;
    const until = this.clock().wallNow + 600_000;
    const quarantine = digests
      .filter((digest) => {
        const crashIds = this.crashIdsByDigest.get(digest) ?? new Set();
        this.crashIdsByDigest.set(digest, crashIds.add(crashId));
        return crashIds.size > 1;
      })
      .map((digest) => ({ digest, until }));
    if (quarantine.length === 0) return;
    this.entries.forEach((entry) =>
      this.schedule(20, () => entry.send({ type: 'quarantineReceived', quarantine })),
    );
  }

  /** Returns the violated guarantees of all callers; empty if there are none. */
  findViolations(): string[] {
    return this.callers().flatMap((caller) => this.findViolationsOf(caller));
  }

  private findViolationsOf({ request, finalAnswers, tokens, versions }: CallerRecord): string[] {
    const violations: string[] = [];
    const expected = expectedAnswer(request);
    const name = request.requestId;
    if (finalAnswers.length !== 1)
      violations.push(`${name} got ${finalAnswers.length} final answers`);
    if (!expected.startsWith(tokens.join('')))
      violations.push(`${name} got tokens of another answer`);
    if (versions.size > 1)
      violations.push(`${name} got tokens of versions ${[...versions].join(' and ')}`);
    finalAnswers.forEach((finalAnswer) => {
      if (finalAnswer.type === 'whole' && finalAnswer.text !== expected) {
        violations.push(`${name} got an incorrect complete answer`);
      }
      const received = [...this.engines.values()].some((engine) => engine.received.has(name));
      if (finalAnswer.type === 'problem' && finalAnswer.ran !== 'unknown' && received) {
        violations.push(`${name} reached an engine but was reported as not run`);
      }
    });
    return violations;
  }

  private describeInstance(engine: SimulatedEngine): PlatformInstance {
    const { instance, dataCentre } = engine;
    const common = { instance, dataCentre, instanceClass: 'gpu', pool: this.pool };
    const version = engine.version === undefined ? {} : { version: engine.version };
    return { ...common, ...version, state: 'live', host: '127.0.0.1', port: 1 };
  }

  private step(): void {
    this.now += STEP_MILLISECONDS;
    this.runDueTasks();
    this.engines.forEach((engine) => engine.advance(STEP_MILLISECONDS));
    this.entries.forEach((entry) => entry.failStalledConnections());
    this.runDueTasks();
    if (this.now % TICK_MILLISECONDS !== 0) return;
    this.entries.forEach((entry) => entry.send({ type: 'tick' }));
  }

  private runDueTasks(): void {
    for (;;) {
      const due = this.tasks.filter(({ dueAt }) => dueAt <= this.now);
      if (due.length === 0) return;
      this.tasks = this.tasks.filter(({ dueAt }) => dueAt > this.now);
      due.sort((a, b) => a.dueAt - b.dueAt).forEach(({ run }) => run());
    }
  }
}

export function makeRequest(name: string, fields: Partial<CallerRequest> = {}): CallerRequest {
  return {
    requestId: name,
    workspace: 'wien-shops',
    method: 'POST',
    path: '/v1/chat/completions',
    digest: `digest-${name}`,
    prefixDigests: [],
    promptTokens: 400,
    maxTokens: 200,
    ...fields,
  };
}
