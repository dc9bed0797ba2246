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
  const commonEffect = effect as CommonEffect;
  switch (commonEffect.type) {
    case 'log':
      logger.write(commonEffect.event, commonEffect.fields);
      return true;
    case 'count':
      metrics.count(commonEffect);
      return true;
    case 'setGauge':
      metrics.setGauge(commonEffect.metric, commonEffect.value);
      return true;
    case 'observe':
      metrics.observe(commonEffect.metric, commonEffect.value, commonEffect.label);
      return true;
    default:
      return false;
  }
}
