/** Forecast of a month's bill from published templates and past days. */
import type { Account, Stage, Template } from '../protocol/Configuration.js';
import type { Usage } from '../protocol/Usage.js';
import type { CostLine, DailyUsage } from './CostBook.js';
import { dayNumber, daysOfMonth, forecastSum, type DayValue } from './DailySeries.js';
import { priceOf, type Prices } from './Prices.js';
import { UnitCosts, type UnitBasis } from './UnitCosts.js';

/** Days of history used; eight weeks show growth, older ones seldom hold. */
const WINDOW_DAYS = 56;
/** Probability that the band is to contain the bill, if the past goes on. */
export const BAND_PROBABILITY = 0.9;
/** Standard deviations on each side of the band. */
const BAND_SD = 1.645;
/** Smallest relative standard deviation; no history is so regular that the next month must be. */
const SMALLEST_SD = 0.02;
/** Series shorter than a week say little about a month. */
const MIN_DAYS = 7;
const SHORT_SERIES_SD = 0.3;

/** What a forecast is made from. */
export interface ForecastInput {
  readonly daily: readonly DailyUsage[];
  /** Monthly costs, for tokens and calls of an attempt. */
  readonly costs: readonly CostLine[];
  readonly templates: readonly Template[];
  readonly accounts: readonly Account[];
  readonly prices: Prices;
  /** `YYYY-MM-DD`; this day and later ones are not complete and are left out. */
  readonly today: string;
  /** Month to forecast, `YYYY-MM`. */
  readonly month: string;
}

/** Amount with the band that contains it with {@link BAND_PROBABILITY}. */
export interface Band {
  readonly amount: number;
  readonly low: number;
  readonly high: number;
}

/** Forecast of one account, template and stage. */
export interface ForecastLine extends Band {
  readonly account: string;
  readonly template: string;
  readonly stage: string;
  /** Expected requests of the template. */
  readonly requests: number;
  /** Usage of one request in this stage, without overhead. */
  readonly unit: Usage;
  /** Where the unit cost comes from; `none`: nothing like this stage has run, the amount is 0. */
  readonly basis: UnitBasis;
}

/** Forecast of a month. */
export interface Forecast {
  readonly month: string;
  readonly currency: string;
  readonly bandProbability: number;
  readonly lines: readonly ForecastLine[];
  readonly accounts: readonly (Band & { readonly account: string })[];
  readonly total: Band;
  /** Accounts and templates that have no volume yet and are not in the amounts. */
  readonly withoutHistory: readonly { readonly account: string; readonly template: string }[];
}

/** Lines of one account and template. */
interface Group {
  readonly account: string;
  readonly lines: readonly ForecastLine[];
  readonly amount: number;
  readonly variance: number;
}

interface PricedLine {
  readonly line: ForecastLine;
  readonly unitSd: number;
}

/**
 * Forecasts a month. Volumes are those of the last days, extended by growth and weekday; the unit
 * cost of a stage is that of its last days; the stages are those of the published templates.
 * @param input - history, configuration, prices and month
 * @returns amounts with bands by line, account and in total
 */
export function forecastMonth(input: ForecastInput): Forecast {
  const today = dayNumber(input.today);
  const recent = input.daily.filter(({ date }) => {
    const day = dayNumber(date);
    return day < today && day >= today - WINDOW_DAYS;
  });
  const units = new UnitCosts(recent, input.costs, input.templates, today);
  const volumes = volumesOf(recent, today);
  const future = daysOfMonth(input.month);
  const groups: Group[] = [];
  const withoutHistory: { account: string; template: string }[] = [];
  for (const account of input.accounts) {
    for (const template of input.templates) {
      const entitlement = account.templates[template.name];
      if (!entitlement) continue;
      const history = volumes.get(workKey(account.id, template.name));
      if (!history) {
        withoutHistory.push({ account: account.id, template: template.name });
        continue;
      }
      const used = template.stages.filter(
        ({ name }) => entitlement.stages === undefined || entitlement.stages.includes(name),
      );
      const volume = volumeOf(history, future);
      const lines = used.map((stage) =>
        forecastLine(input.prices, units, account.id, template.name, stage, volume),
      );
      groups.push(groupOf(account.id, lines, volume.relativeSd));
    }
  }
  const accounts = [...new Set(groups.map(({ account }) => account))].map((account) => ({
    account,
    ...bandOf(groups.filter((group) => group.account === account)),
  }));
  return {
    month: input.month,
    currency: input.prices.currency,
    bandProbability: BAND_PROBABILITY,
    lines: groups.flatMap(({ lines }) => lines),
    accounts,
    total: bandOf(groups),
    withoutHistory,
  };
}

function forecastLine(
  prices: Prices,
  units: UnitCosts,
  account: string,
  template: string,
  stage: Stage,
  volume: { sum: number; relativeSd: number },
): PricedLine {
  const unit = units.unitOf(account, template, stage);
  const overhead = prices.billOverhead ? unit.overheadShare : 0;
  const price = priceOf(prices, stage.name, unit.usage) * (1 + overhead);
  const amount = volume.sum * price;
  const line = {
    ...{ account, template, stage: stage.name, requests: volume.sum },
    ...{ unit: unit.usage, basis: unit.basis },
    ...bandAround(amount, Math.hypot(volume.relativeSd, unit.relativeSd)),
  };
  return { line, unitSd: unit.relativeSd };
}

/** Stages of one template share the error of its volume; errors of unit costs are their own. */
function groupOf(account: string, priced: readonly PricedLine[], volumeSd: number): Group {
  const amount = priced.reduce((sum, { line }) => sum + line.amount, 0);
  const unitVariance = priced.reduce(
    (sum, { line, unitSd }) => sum + (line.amount * unitSd) ** 2,
    0,
  );
  const variance = (amount * volumeSd) ** 2 + unitVariance;
  return { account, lines: priced.map(({ line }) => line), amount, variance };
}

/** Errors of different templates and accounts are taken as independent. */
function bandOf(groups: readonly Group[]): Band {
  const amount = groups.reduce((sum, group) => sum + group.amount, 0);
  const variance = groups.reduce((sum, group) => sum + group.variance, 0);
  return bandAround(amount, amount === 0 ? 0 : Math.sqrt(variance) / amount);
}

/** Amounts are positive, so the band is one of ratios. */
function bandAround(amount: number, relativeSd: number): Band {
  const ratio = Math.exp(BAND_SD * Math.max(SMALLEST_SD, relativeSd));
  return { amount, low: amount / ratio, high: amount * ratio };
}

function volumeOf(history: readonly DayValue[], future: readonly number[]) {
  const forecast = forecastSum(history, future);
  if (history.length >= MIN_DAYS) return forecast;
  return { ...forecast, relativeSd: Math.max(forecast.relativeSd, SHORT_SERIES_SD) };
}

/**
 * Requests by account and template: the greatest count of any stage that day, because a request
 * runs each of its stages once and removed stages count for past days.
 */
function volumesOf(recent: readonly DailyUsage[], today: number): Map<string, DayValue[]> {
  const byStage = new Map<string, Map<number, Map<string, number>>>();
  for (const { account, template, stage, date, attempts, class: usageClass } of recent) {
    if (usageClass !== 'useful') continue;
    const key = workKey(account, template);
    const days = byStage.get(key) ?? new Map<number, Map<string, number>>();
    byStage.set(key, days);
    const day = dayNumber(date);
    const stages = days.get(day) ?? new Map<string, number>();
    days.set(day, stages);
    stages.set(stage, (stages.get(stage) ?? 0) + attempts);
  }
  const volumes = new Map<string, DayValue[]>();
  for (const [key, days] of byStage) {
    const first = Math.min(...days.keys());
    const series = Array.from({ length: today - first }, (_, index) => {
      const stages = days.get(first + index);
      return { day: first + index, value: stages ? Math.max(...stages.values()) : 0 };
    });
    volumes.set(key, series);
  }
  return volumes;
}

function workKey(...parts: readonly string[]): string {
  return parts.join('\u0000');
}
