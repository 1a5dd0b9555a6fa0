# each_ablation LIST [NAME...]: calls run_ablation NAME FILE SUBSTITUTION
# EXPECTED, which the sourcing script defines, for each line of the list or for
# the lines with these names.
each_ablation() {
    local line name rest file expected list=$1
    shift
    while IFS= read -r line; do
        case "$line" in '#'* | '') continue ;; esac
        name=${line%% | *}
        rest=${line#* | }
        file=${rest%% | *}
        rest=${rest#* | }
        expected=${rest##* | }
        if [ $# -eq 0 ] || [[ " $* " == *" $name "* ]]; then
            run_ablation "$name" "$file" "${rest% | *}" "$expected"
        fi
    done <"$list"
}

# ablation_names LIST [NAME...]: prints the names of these lines, or of all.
ablation_names() {
    (
        run_ablation() {
            echo "$1"
        }
        each_ablation "$@"
    )
}
