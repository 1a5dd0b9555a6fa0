# each_ablation LIST [NAME...]: calls try NAME FILE SUBSTITUTION WANTED for each
# line of a list, or for those named.
each_ablation() {
    local line name rest file wanted list=$1
    shift
    while IFS= read -r line; do
        case "$line" in '#'* | '') continue ;; esac
        name=${line%% | *}
        rest=${line#* | }
        file=${rest%% | *}
        rest=${rest#* | }
        wanted=${rest##* | }
        if [ $# -eq 0 ] || [[ " $* " == *" $name "* ]]; then
            try "$name" "$file" "${rest% | *}" "$wanted"
        fi
    done <"$list"
}
