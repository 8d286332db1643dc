import {createMetricsPage} from './metrics_page.js';
import {createSettingsPage} from './settings_page.js';

/** The pages that are written from tables of the code, by path. */
export const REFERENCE_PAGE_REGISTRY: Readonly<Record<string, () => string>> = {
  'docs/SETTINGS.md': createSettingsPage,
  'docs/METRICS.md': createMetricsPage,
};
