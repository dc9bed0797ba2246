/** Carries out the effects that the reducers of all processes share. */
import type { CountEffect, LogEffect, MetricName } from '@hornbeampond/schema';
import type { Logger } from './Logger.js';
import type { Metrics } from './Metrics.js';

export type CommonEffect =
  | CountEffect
  | LogEffect
  | { readonly type: 'setGauge'; readonly metric: MetricName; readonly value: number }
  | {
      readonly type: 'observe';
      readonly metric: MetricName;
      readonly value: number;
      readonly label?: string;
    };

/** Says whether the effect was one of those shared. */
export function runCommonEffect(
  effect: { readonly type: string },
  logger: Logger,
  metrics: Metrics,
): effect is CommonEffect {
  const common = effect as CommonEffect;
  switch (common.type) {
    case 'log':
      logger.write(common.event, common.fields);
      return true;
    case 'count':
      metrics.count(common);
      return true;
    case 'setGauge':
      metrics.setGauge(common.metric, common.value);
      return true;
    case 'observe':
      metrics.observe(common.metric, common.value, common.label);
      return true;
    default:
      return false;
  }
}
