/**
 * Metrics of one process. All metrics of the catalogue in `@hornbeampond/schema` are registered from
 * the start.
 */
import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client';
import {
  metricDefinitions,
  type CountEffect,
  type MetricDefinition,
  type MetricName,
} from '@hornbeampond/schema';

/** Each sample wakes the process. */
const EVENT_LOOP_SAMPLE_INTERVAL_MILLISECONDS = 1000;

type Instrument = Counter | Gauge | Histogram;

function makeInstrument(definition: MetricDefinition, registry: Registry): Instrument {
  const { name, help, label } = definition;
  const commonOptions = {
    name,
    help,
    registers: [registry],
    labelNames: label === undefined ? [] : [label.name],
  };
  switch (definition.kind) {
    case 'counter': {
      const counter = new Counter(commonOptions);
      label?.values?.forEach((value) => counter.inc({ [label.name]: value }, 0));
      return counter;
    }
    case 'gauge':
      return new Gauge(commonOptions);
    case 'histogram':
      return new Histogram({ ...commonOptions, buckets: [...(definition.buckets ?? [])] });
    default:
      throw new TypeError(`unknown kind of metric: ${String(definition.kind)}`);
  }
}

export class Metrics {
  readonly registry = new Registry();

  private readonly instruments = new Map<MetricName, Instrument>();

  /**
   * What was counted since the metrics were last read, by label value. Counters of `prom-client` look up
   * their labels each time, and frames are counted some hundred times per second.
   */
  private readonly pendingAmounts = new Map<MetricName, Map<string | undefined, number>>();

  constructor(options: { readonly withProcessMetrics?: boolean } = {}) {
    Object.entries(metricDefinitions).forEach(([name, definition]) => {
      this.instruments.set(name as MetricName, makeInstrument(definition, this.registry));
    });
    this.instruments.forEach((instrument, name) => {
      if (instrument instanceof Counter) this.pendingAmounts.set(name, new Map());
    });
    if (options.withProcessMetrics === true) {
      collectDefaultMetrics({
        register: this.registry,
        eventLoopMonitoringPrecision: EVENT_LOOP_SAMPLE_INTERVAL_MILLISECONDS,
      });
    }
  }

  /** Adds to a counter. */
  count({ metric, label, amount = 1 }: Omit<CountEffect, 'type'>): void {
    const amounts = this.pendingAmounts.get(metric);
    if (amounts === undefined) throw new TypeError(`${metric} is no counter`);
    amounts.set(label, (amounts.get(label) ?? 0) + amount);
  }

  setGauge(metric: MetricName, value: number, label?: string): void {
    const instrument = this.instruments.get(metric);
    if (!(instrument instanceof Gauge)) throw new TypeError(`${metric} is no gauge`);
    instrument.set(this.makeLabels(metric, label), value);
  }

  observe(metric: MetricName, value: number, label?: string): void {
    const instrument = this.instruments.get(metric);
    if (!(instrument instanceof Histogram)) throw new TypeError(`${metric} is no histogram`);
    instrument.observe(this.makeLabels(metric, label), value);
  }

  /** Values of a counter by label value, without zeros. */
  async readCounter(metric: MetricName): Promise<Record<string, number>> {
    const instrument = this.instruments.get(metric);
    if (!(instrument instanceof Counter)) throw new TypeError(`${metric} is no counter`);
    this.addPendingAmounts();
    const { values } = await instrument.get();
    const nonZeroValues = values.filter(({ value }) => value > 0);
    return Object.fromEntries(
      nonZeroValues.map(({ labels, value }) => [String(Object.values(labels)[0] ?? ''), value]),
    );
  }

  /** Returns all metrics in the text format of Prometheus. */
  async toPrometheusText(): Promise<string> {
    this.addPendingAmounts();
    return this.registry.metrics();
  }

  private addPendingAmounts(): void {
    this.pendingAmounts.forEach((amounts, metric) => {
      const counter = this.instruments.get(metric) as Counter;
      amounts.forEach((amount, label) => counter.inc(this.makeLabels(metric, label), amount));
      amounts.clear();
    });
  }

  private makeLabels(metric: MetricName, value: string | undefined): Record<string, string> {
    const { label }: MetricDefinition = metricDefinitions[metric];
    return label === undefined || value === undefined ? {} : { [label.name]: value };
  }
}
